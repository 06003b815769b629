package checker

import "math"

// seeBox takes what boxes tell.
func (c *Checker) observeServer(e *Event) {
	server := c.server(e.Server)
	switch e.Kind {
	case ServerStarted:
		server.incarnation++
		server.incarnationEnds = append(server.incarnationEnds, math.Inf(1))
		server.zone, server.cell, server.address, server.servingSince, server.recentWork = e.Zone, e.Cell, e.Address, e.ServingSince, server.recentWork[:0]
	case ServerStopped:
		if len(server.incarnationEnds) > 0 {
			server.incarnationEnds[len(server.incarnationEnds)-1] = e.At
		}
	case ServerOverloaded:
		c.checkColdOverload(server, e)
	case ConnectionOpened:
		c.costs.Connections++
		c.recordColdWork(server, e)
	case ConnectionClosed:
		if connection := c.connections[e.Connection]; connection != nil {
			attempt := &connection.request.attempts[connection.attemptIndex]
			attempt.closedAt, attempt.isClosedAtExact = e.Sent, e.Sent < e.At
			delete(c.connections, e.Connection)
		}
	case HealthCheckReceived:
		c.costs.HealthChecks++
		c.recordColdWork(server, e)
	case AttemptReceived:
		c.recordColdWork(server, e)
		c.attemptReceived(server, e)
	case ResponseSent:
		if connection := c.connections[e.Connection]; connection != nil && connection.request.id == e.Request {
			attempt := &connection.request.attempts[connection.attemptIndex]
			attempt.repliedAt, attempt.status, attempt.digest, attempt.notStarted, attempt.malformed = e.At, e.Status, e.Digest, e.NotStarted, e.Malformed
		}
	}
}

// execution checks a request that has come whole to a box.
func (c *Checker) attemptReceived(server *serverState, e *Event) {
	request, sidecar := c.requests[e.Request], c.sidecar(e.Sidecar)
	c.costs.Attempts++
	if int(e.Sidecar) < len(c.rules.SidecarZones) && e.Sidecar >= 0 && c.rules.SidecarZones[e.Sidecar] != server.zone {
		c.costs.CrossZoneAttempts++
	}
	if request == nil || sidecar == nil {
		c.addViolation(NoInvention, e.Sidecar, e.Server, e.Request, nil, "an execution of a request that no client has sent")
		return
	}
	if e.Sent <= sidecar.killedAt || e.FirstSent < sidecar.startedAt {
		return // the last words of a process that has been killed
	}
	c.checkDrain(server, sidecar, e)
	isOtherRequest := request.isIDReused && request.mayBeAnswered() // a hostile client has used its id since
	if !isOtherRequest {
		c.checkRequestOpen(request, e)
	}
	a := attempt{server: e.Server, serverIncarnation: server.incarnation, sidecarIncarnation: sidecar.incarnation, connection: e.Connection, firstByteSentAt: e.FirstSent, sentAt: e.Sent}
	request.attempts = append(request.attempts, a)
	c.connections[e.Connection] = &connectionState{request, len(request.attempts) - 1}
	if isOtherRequest {
		return
	}
	count := 0
	for i := range request.attempts {
		if request.attempts[i].sidecarIncarnation == sidecar.incarnation {
			count++
		}
	}
	if c.rules.MaxAttempts > 0 && count > c.rules.MaxAttempts {
		c.addViolation(NoRepeat, e.Sidecar, e.Server, e.Request, nil, "execution %d of at most %d", count, c.rules.MaxAttempts)
	}
	for i := range request.attempts[:len(request.attempts)-1] {
		if request.attempts[i].sidecarIncarnation != sidecar.incarnation {
			continue
		}
		first, second := i, len(request.attempts)-1
		if request.attempts[first].sentAt > e.Sent {
			first, second = second, first
		}
		c.checkRepeat(request, first, second)
		c.checkOverlap(request, first, second)
	}
}

// checkOpen checks that an execution was sent while its request was open.
func (c *Checker) checkRequestOpen(request *request, e *Event) {
	class := c.class(request.class)
	switch request.outcome {
	case served, failed:
		if e.FirstSent > request.endedAt {
			c.addViolation(OneAnswer, e.Sidecar, e.Server, e.Request, nil, "sent on %.6f s after its final answer", e.FirstSent-request.endedAt)
		}
	case rejected:
		if class != nil && class.Effect != Safe && (class.Effect != Keyed || class.Group != GroupAll) || e.FirstSent > request.endedAt {
			c.addViolation(NoRepeat, e.Sidecar, e.Server, e.Request, nil, "an execution of a request that was refused")
		}
	case closedUnsent:
		if e.FirstSent <= request.endedAt {
			c.addViolation(OneAnswer, e.Sidecar, e.Server, e.Request, nil, "its connection was closed without an answer, though it had been sent on")
			return
		}
		fallthrough
	case abandoned, lost:
		gone := request.endedAt
		if sidecar := c.sidecar(request.sidecar); sidecar.suspendedAt > 0 && gone >= sidecar.suspendedAt && gone <= sidecar.resumedAt {
			gone = sidecar.resumedAt + catchUpSeconds // its end lies unread behind all that has come meanwhile
		}
		// The contract allows 0.1 s beyond the slack; what has been read by then is dropped at once, so that the slack alone is enough.
		switch late := e.FirstSent - gone; {
		case late <= c.rules.SocketSlackSeconds:
		case request.outcome == abandoned:
			c.addViolation(ClientGone, e.Sidecar, e.Server, e.Request, nil, "attempt %d was sent %.6f s after its client had gone", len(request.attempts)+1, late)
		default:
			c.addViolation(OneAnswer, e.Sidecar, e.Server, e.Request, nil, "sent on %.6f s after its connection was closed", late)
		}
	}
}

// checkRepeat checks that the second of two attempts was the sidecar's right after the first.
func (c *Checker) checkRepeat(request *request, first, second int) {
	class := c.class(request.class)
	a, b := &request.attempts[first], &request.attempts[second]
	if class == nil || class.Effect == Safe || a.isProvenNotRun(b.sentAt) {
		return
	}
	if class.Effect == Unsafe {
		c.addViolation(NoRepeat, request.sidecar, b.server, request.id, nil, "sent again at %.6f, though the execution sent at %.6f may have run", b.sentAt, a.sentAt)
		return
	}
	x, y := c.server(a.server), c.server(b.server)
	if class.Group == GroupZone && x.zone != y.zone || class.Group == GroupCell && x.cell != y.cell {
		c.addViolation(NoRepeat, request.sidecar, b.server, request.id, nil, "sent again to a box outside the group of box %d, where it may have run", a.server)
	}
	if span := b.sentAt - a.sentAt; span > class.DedupWindowSeconds+c.rules.SocketSlackSeconds {
		c.addViolation(NoRepeat, request.sidecar, b.server, request.id, nil, "sent again %.3f s after the first that may have run; its window is %.3f s", span, class.DedupWindowSeconds)
	}
}

// checkCopies checks that the first of two attempts was over when the second was sent, or leaves it for later.
func (c *Checker) checkOverlap(request *request, first, second int) {
	if c.rules.AllowsHedging || c.wasOver(&request.attempts[first], request.attempts[second].sentAt) {
		return
	}
	c.overlaps = append(c.overlaps, attemptOverlap{request, first, second, c.now + overlapWaitSeconds})
}

// over tells whether an attempt is known to have been over at a time.
func (c *Checker) wasOver(attempt *attempt, at float64) bool {
	slack := timeToleranceSeconds
	if attempt.closedAt > 0 && !attempt.isClosedAtExact {
		slack = c.rules.SocketSlackSeconds // when it came stands for when it was done
	}
	return attempt.endKnownAt(c.server(attempt.server).incarnationEnd(attempt.serverIncarnation)) <= at+slack
}

// decideCopies decides the first pair that waits.
func (c *Checker) decideOverlap() {
	overlap := c.overlaps[0]
	c.overlaps = c.overlaps[1:]
	a, b := &overlap.request.attempts[overlap.first], &overlap.request.attempts[overlap.second]
	if c.wasOver(a, b.sentAt) || c.hadPathFault(overlap.request.sidecar, a.server, a.sentAt, c.now) {
		return
	}
	c.addViolation(NoConcurrentAttempts, overlap.request.sidecar, b.server, overlap.request.id, nil, "sent at %.6f while the execution sent at %.6f was still out at box %d", b.sentAt, a.sentAt, a.server)
}

// burden notes work that reaches a cold box.
func (c *Checker) recordColdWork(server *serverState, e *Event) {
	if server.servingSince == 0 {
		return
	}
	expired := 0
	for expired < len(server.recentWork) && server.recentWork[expired].at < e.At-c.rules.OverloadWindowSeconds {
		expired++
	}
	server.recentWork = append(server.recentWork[:0], server.recentWork[expired:]...)
	sidecar := c.sidecar(e.Sidecar)
	server.recentWork = append(server.recentWork, coldWork{e.At, e.Work, sidecar != nil && c.knewOfStart(sidecar, server, e.Server, e.At)})
}

// knowsStart tells whether a sidecar has been told of a box's present start, or counts as told.
func (c *Checker) knewOfStart(sidecar *sidecarState, server *serverState, serverID int32, at float64) bool {
	if entry := sidecar.entry(serverID); entry.status != 0 && entry.servingSince >= server.servingSince-timeToleranceSeconds {
		return true
	}
	for i := len(server.listChanges) - 1; i >= 0; i-- {
		if change := &server.listChanges[i]; change.Status == Serving && change.ServingSince >= server.servingSince-timeToleranceSeconds {
			return c.notifiedAt(sidecar, change, at) <= at
		}
	}
	return false
}

// fell checks who has pushed a cold box over.
func (c *Checker) checkColdOverload(server *serverState, e *Event) {
	total, notified := 0.0, 0.0
	for _, work := range server.recentWork {
		if work.at >= e.At-c.rules.OverloadWindowSeconds {
			if total += work.seconds; work.isFromNotified {
				notified += work.seconds
			}
		}
	}
	if total > 0 && notified >= c.rules.ColdLoadShare*total {
		c.addViolation(ColdServer, -1, e.Server, 0, nil, "%.3f s of work in %g s brought it down, %.0f %% of it from sidecars that knew of its start",
			total, c.rules.OverloadWindowSeconds, 100*notified/total)
	}
}

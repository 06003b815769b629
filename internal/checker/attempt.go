package checker

// catchUpSeconds is how long a resumed process may take to read what has arrived while it was suspended.
const catchUpSeconds = 0.25

// attempt is a request that a server has read completely.
type attempt struct {
	server, serverIncarnation int32
	sidecarIncarnation        int
	sentAt                    float64 // its last byte
	repliedAt                 float64 // 0: there is no answer
	closedAt                  float64 // when the sidecar or the server closed its connection; 0: neither has
	isClosedAtExact           bool    // closedAt is the time at which the sidecar closed it, not the time of its arrival
	status                    int32
	digest                    uint64
	notStarted                bool
	malformed                 bool
}

// endKnownAt returns when the sidecar could know that the attempt was over; +Inf: not yet. serverEndedAt is when the
// server's incarnation ended, +Inf: it has not. A malformed answer is none; the sidecar closes such an attempt itself.
func (a *attempt) endKnownAt(serverEndedAt float64) float64 {
	at := serverEndedAt
	if a.closedAt > 0 {
		at = min(at, a.closedAt)
	}
	if a.repliedAt > 0 && !a.malformed {
		at = min(at, a.repliedAt)
	}
	return at
}

// isServed reports whether the server has written a complete, successful answer.
func (a *attempt) isServed() bool { return a.repliedAt > 0 && a.status == 200 && !a.malformed }

// isProvenNotRun reports whether the sidecar knew at a time that the attempt was never executed.
func (a *attempt) isProvenNotRun(at float64) bool { return a.notStarted && a.repliedAt <= at }

// attemptReceived records an attempt whose request a server has read completely, and checks that the sidecar was allowed
// to make it.
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
		return // sent by a process that has been killed since
	}
	c.checkDrain(server, sidecar, e)
	isOtherRequest := request.isIDReused && request.mayBeAnswered() // it may be a hostile client's with the same id
	if !isOtherRequest {
		c.checkRequestOpen(request, e)
	}
	request.attempts = append(request.attempts, attempt{
		server:             e.Server,
		serverIncarnation:  server.incarnation,
		sidecarIncarnation: sidecar.incarnation,
		sentAt:             e.Sent,
	})
	c.connections[e.Connection] = &connectionState{request, len(request.attempts) - 1}
	if !isOtherRequest {
		c.checkAttempts(request, sidecar, e)
	}
}

// checkAttempts checks the last attempt of a request against the earlier ones of the same process.
func (c *Checker) checkAttempts(request *request, sidecar *sidecarState, e *Event) {
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

// checkRequestOpen checks that an attempt was sent while its request was pending.
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
			gone = sidecar.resumedAt + catchUpSeconds // its close is unread behind all that has arrived meanwhile
		}
		// The contract allows 0.1 s beyond the slack; what has been read by then is dropped at once, so that the slack alone
		// is enough.
		switch late := e.FirstSent - gone; {
		case late <= c.rules.SocketSlackSeconds:
		case request.outcome == abandoned:
			c.addViolation(ClientGone, e.Sidecar, e.Server, e.Request, nil, "attempt %d was sent %.6f s after its client had gone", len(request.attempts)+1, late)
		default:
			c.addViolation(OneAnswer, e.Sidecar, e.Server, e.Request, nil, "sent on %.6f s after its connection was closed", late)
		}
	}
}

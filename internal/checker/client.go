package checker

// unansweredS is how long after its time a request is lost that has no answer, on any day: no loop that stands still and no clock that
// runs slow explains more.
const lostAfterSeconds = 1.0

// seeClient takes what clients tell.
func (c *Checker) observeClient(e *Event) {
	switch e.Kind {
	case HostileConnected:
		c.costs.HostileClients++
		c.hostileClients[e.Connection] = &hostileClient{deadline: e.Deadline, claimedRequest: c.requests[e.Request]}
		if request := c.requests[e.Request]; request != nil {
			request.isIDReused = true
		}
		return
	case HostileAnswered, HostileClosed:
		c.hostileEnded(e)
		return
	case UnsolicitedBytes:
		c.addViolation(OneAnswer, e.Sidecar, -1, 0, nil, "bytes on a connection on which nothing was asked")
		return
	case RequestStarted:
		c.requestStarted(e)
		return
	}
	request, sidecar := c.requests[e.Request], c.sidecar(e.Sidecar)
	if request == nil || sidecar == nil {
		return
	}
	switch e.Kind {
	case RequestSent:
		if request.outcome != pending {
			return
		}
		request.isSent, request.sentAt, request.deadline = true, e.At, e.Deadline
		sidecar.addPending(request)
	case ResponseReceived:
		c.responseReceived(request, e)
	case ResponseTruncated:
		c.responseTruncated(request, e)
	case ConnectionDropped:
		c.connectionDropped(request, e)
	case RequestHalfClosed:
		request.isHalfClosed = true
	case RequestAbandoned:
		// Danger: a client may give so little time that nobody could answer in it, or read too slowly.
		hadEnoughTime := e.At-request.startedAt >= c.rules.AnswerSlackSeconds+c.rules.SocketSlackSeconds && !c.hadPathFault(request.sidecar, PathToClients, request.startedAt, e.At)
		isOver := e.At >= request.deadline && c.rules.RequiresAnswerInTime || e.At >= request.deadline+lostAfterSeconds
		if request.isSent && !request.isHalfClosed && request.outcome == pending && isOver && hadEnoughTime {
			c.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "no answer when its time was over")
		}
		c.endRequest(request, abandoned, e.At)
	case ConnectFailed:
		c.endRequest(request, notSent, e.At)
	}
}

// asked takes up a try.
func (c *Checker) requestStarted(e *Event) {
	request := &request{id: e.Request, sidecar: e.Sidecar, class: e.Class, startedAt: e.At, deadline: e.Deadline, pendingIndex: -1}
	request.attempts = request.attemptStorage[:0]
	if first := c.requests[e.FirstRequest]; first != nil {
		request.operation = first.operation
	} else {
		request.operation = &operation{startedAt: e.At, class: e.Class, isCounted: !e.Uncounted}
		if class := c.class(e.Class); class != nil && request.operation.isCounted {
			c.services[e.Class].Requests++
			c.services[e.Class].Weight += class.PriorityWeight
		}
	}
	c.requests[e.Request] = request
}

// end notes how a try ended.
func (c *Checker) endRequest(request *request, outcome outcome, at float64) {
	if request.outcome != pending {
		return
	}
	request.outcome, request.endedAt = outcome, at
	c.sidecars[request.sidecar].removePending(request)
	class := c.class(request.class)
	if class == nil || !request.operation.isCounted {
		return
	}
	service := &c.services[request.class]
	switch outcome {
	case rejected:
		service.Rejected++
	case served, excused, notSent:
	default:
		service.Failed++
	}
	isLate := at-request.startedAt > (request.deadline-request.startedAt)/2
	if len(request.attempts) == 0 && request.isSent && (outcome == abandoned || isLate && (outcome == rejected || outcome == failed)) {
		c.costs.SlowRejectionWeight += 0.3 * class.PriorityWeight
	}
}

// answered takes a whole answer.
func (c *Checker) responseReceived(request *request, e *Event) {
	if request.outcome == served || request.outcome == rejected || request.outcome == failed {
		c.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "a second answer, of status %d", e.Status)
		return
	}
	switch e.Status {
	case 200:
		if !c.rules.ObservesClientsOnly && !request.hasResponse(e.Digest) {
			c.addViolation(NoInvention, e.Sidecar, -1, e.Request, nil, "an answer that no box has made for it")
		}
		c.endRequest(request, served, e.At)
		c.countServed(request, e.At)
	case 429, 503:
		if !request.isIDReused {
			c.checkRejection(request, e)
			c.checkFailFast(request, e)
		}
		c.endRequest(request, rejected, e.At)
	default:
		if !request.isIDReused {
			c.checkFailFast(request, e)
		}
		c.endRequest(request, failed, e.At)
	}
}

// made tells whether a box has made this answer for the try.
func (r *request) hasResponse(digest uint64) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.repliedAt > 0 && a.status == 200 && !a.malformed && a.digest == digest {
			return true
		}
	}
	return false
}

// serve counts a request that has been served, once.
func (c *Checker) countServed(request *request, at float64) {
	operation := request.operation
	class := c.class(operation.class)
	if operation.isServed || !operation.isCounted || class == nil {
		return
	}
	operation.isServed = true
	service := &c.services[operation.class]
	if at-operation.startedAt <= class.LatencyTargetSeconds {
		service.InTarget++
		service.EarnedWeight += class.PriorityWeight
		return
	}
	service.Late++
	service.EarnedWeight += class.PriorityWeight * class.LateFraction
}

// checkRefusal checks that trying again is as harmless as a refusal says.
func (c *Checker) checkRejection(request *request, e *Event) {
	if class := c.class(request.class); class == nil || class.Effect == Safe || class.Effect == Keyed && class.Group == GroupAll {
		return
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.sidecarIncarnation == c.sidecars[request.sidecar].incarnation && !attempt.isProvenNotRun(e.At) {
			c.addViolation(NoRepeat, request.sidecar, attempt.server, request.id, nil, "refused, though the execution sent at %.6f may have run", attempt.sentAt)
			return
		}
	}
}

// checkAtOnce checks that a try was given its answer when nothing more could be done for it: the sidecar had no right
// to another execution, and none was out.
func (c *Checker) checkFailFast(request *request, e *Event) {
	class := c.class(request.class)
	if class == nil || len(request.attempts) == 0 || c.hadPathFault(request.sidecar, PathToClients, request.startedAt, e.At) {
		return
	}
	isExhausted := c.rules.MaxAttempts > 0 && len(request.attempts) >= c.rules.MaxAttempts
	lastEnd := 0.0
	for i := range request.attempts {
		attempt := &request.attempts[i]
		end := attempt.endKnownAt(c.server(attempt.server).incarnationEnd(attempt.serverIncarnation))
		if attempt.sidecarIncarnation != c.sidecars[request.sidecar].incarnation { // an earlier process has sent it, and this one knows nothing of it
			return
		}
		if end > e.At || c.hadPathFault(request.sidecar, attempt.server, attempt.sentAt, e.At) {
			return
		}
		lastEnd = max(lastEnd, end)
		isExhausted = isExhausted || class.Effect == Unsafe && !attempt.notStarted
	}
	if delay := e.At - lastEnd; isExhausted && delay > c.rules.FailFastSeconds {
		c.addViolation(FailFast, request.sidecar, -1, request.id, nil, "its answer was held back for %.3f s after all was over", delay)
	}
}

// brokenOff takes the end of part of an answer. Whole ones that a box has made must reach the client whole.
func (c *Checker) responseTruncated(request *request, e *Event) {
	if request.outcome == pending && !request.isHalfClosed {
		for i := range request.attempts {
			attempt := &request.attempts[i]
			if attempt.repliedAt > 0 && attempt.status == 200 && !attempt.malformed && attempt.sidecarIncarnation == c.sidecars[request.sidecar].incarnation && c.sidecars[request.sidecar].terminatingAt == 0 &&
				!c.hadPathFault(request.sidecar, PathToClients, attempt.sentAt, e.At) {
				c.addViolation(OneAnswer, request.sidecar, attempt.server, request.id, nil, "part of an answer, though a box had given it whole")
				break
			}
		}
	}
	c.endRequest(request, failed, e.At)
}

// dropped takes the end of a connection by the sidecar's side while a try was out on it.
func (c *Checker) connectionDropped(request *request, e *Event) {
	if request.outcome != pending || !request.isSent {
		return
	}
	if request.isHalfClosed { // the sidecar takes it for one that has gone
		c.endRequest(request, abandoned, e.At)
		return
	}
	isForwarded := false
	for i := range request.attempts {
		isForwarded = isForwarded || request.attempts[i].sidecarIncarnation == c.sidecars[request.sidecar].incarnation
	}
	switch {
	case e.WasRead:
		c.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "it was read, and its connection closed without an answer")
		c.endRequest(request, lost, e.At)
	case !isForwarded && e.Reused && !request.wasDropped:
		request.wasDropped, request.isSent = true, false // the close has crossed the request: its client sends it once more
		c.sidecars[request.sidecar].removePending(request)
	case !isForwarded && !e.Reused && !request.wasDropped && !c.rules.IsFaultFree:
		c.endRequest(request, closedUnsent, e.At)
	default:
		c.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "its connection was closed without an answer")
		c.endRequest(request, lost, e.At)
	}
}

// seeHostile takes how a client fared that may not be served.
func (c *Checker) hostileEnded(e *Event) {
	client := c.hostileClients[e.Connection]
	if client == nil || client.isSettled {
		return
	}
	client.isSettled = true
	if e.At > client.deadline+c.rules.SocketSlackSeconds {
		c.costs.HostileUnclosed++
	}
	if e.Kind == HostileAnswered && e.Status >= 200 && e.Status < 300 && (client.claimedRequest == nil || !client.claimedRequest.mayBeAnswered()) {
		c.addViolation(OneAnswer, e.Sidecar, -1, 0, nil, "a client that may not be served was answered with %d", e.Status)
	}
}

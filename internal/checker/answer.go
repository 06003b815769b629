package checker

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

package checker

// responseReceived handles a complete answer: it must be the only one and, if successful, one that a server made.
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

// checkFailFast checks that a request got its error as soon as the sidecar had no further attempt in flight and none left
// that the class or the limit allows.
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
		if attempt.sidecarIncarnation != c.sidecars[request.sidecar].incarnation {
			return // an earlier process has sent it, and this one knows nothing of it
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

// responseTruncated handles an incomplete answer. A complete one of a server must reach the client complete.
func (c *Checker) responseTruncated(request *request, e *Event) {
	if request.outcome == pending && !request.isHalfClosed {
		c.checkTruncation(request, e)
	}
	c.endRequest(request, failed, e.At)
}

// checkTruncation checks that no attempt of the sidecar's present process had a complete answer. A process that shuts down
// may truncate.
func (c *Checker) checkTruncation(request *request, e *Event) {
	sidecar := &c.sidecars[request.sidecar]
	if sidecar.terminatingAt != 0 {
		return
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.isServed() || attempt.sidecarIncarnation != sidecar.incarnation {
			continue
		}
		if c.hadPathFault(request.sidecar, PathToClients, attempt.sentAt, e.At) {
			continue
		}
		c.addViolation(OneAnswer, request.sidecar, attempt.server, request.id, nil, "part of an answer, though a box had given it whole")
		return
	}
}

// connectionDropped handles the sidecar's close of the connection of a pending request.
func (c *Checker) connectionDropped(request *request, e *Event) {
	if request.outcome != pending || !request.isSent {
		return
	}
	if request.isHalfClosed { // the sidecar may consider its client gone
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
		// The close of an idle connection has crossed the request: its client sends it once more.
		request.wasDropped, request.isSent = true, false
		c.sidecars[request.sidecar].removePending(request)
	case !isForwarded && !e.Reused && !request.wasDropped && !c.rules.IsFaultFree:
		c.endRequest(request, closedUnsent, e.At)
	default:
		c.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "its connection was closed without an answer")
		c.endRequest(request, lost, e.At)
	}
}

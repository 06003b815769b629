package checker

// lostAfterSeconds is how long after its deadline a request without an answer is lost on any day: no event loop that is
// suspended and no slow clock explains more.
const lostAfterSeconds = 1.0

// observeClient handles what clients report.
func (c *Checker) observeClient(e *Event) {
	switch e.Kind {
	case HostileConnected:
		c.hostileConnected(e)
	case HostileAnswered, HostileClosed:
		c.hostileEnded(e)
	case UnsolicitedBytes:
		c.addViolation(OneAnswer, e.Sidecar, -1, 0, nil, "bytes on a connection on which nothing was asked")
	case RequestStarted:
		c.requestStarted(e)
	default:
		request, sidecar := c.requests[e.Request], c.sidecar(e.Sidecar)
		if request != nil && sidecar != nil {
			c.observeRequest(request, sidecar, e)
		}
	}
}

// observeRequest handles what a client reports of a request that it has started.
func (c *Checker) observeRequest(request *request, sidecar *sidecarState, e *Event) {
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
		c.checkUnanswered(request, e)
		c.endRequest(request, abandoned, e.At)
	case ConnectFailed:
		c.endRequest(request, notSent, e.At)
	}
}

// requestStarted records a client's request. One whose first request is known is a retry of the same operation.
func (c *Checker) requestStarted(e *Event) {
	request := &request{id: e.Request, sidecar: e.Sidecar, class: e.Class, startedAt: e.At, deadline: e.Deadline, pendingIndex: -1}
	request.attempts = request.attemptStorage[:0]
	if first := c.requests[e.FirstRequest]; first != nil {
		request.operation = first.operation
	} else {
		request.operation = &operation{startedAt: e.At, class: e.Class, isCounted: !e.Uncounted}
		c.countRequest(request.operation)
	}
	c.requests[e.Request] = request
}

// checkUnanswered checks that a request which its client abandons at the deadline was answered.
//
// Danger: a client may give so little time that no answer could arrive in it, or read too slowly.
func (c *Checker) checkUnanswered(request *request, e *Event) {
	if !request.isSent || request.isHalfClosed || request.outcome != pending {
		return
	}
	isOver := e.At >= request.deadline && c.rules.RequiresAnswerInTime || e.At >= request.deadline+lostAfterSeconds
	hadEnoughTime := e.At-request.startedAt >= c.rules.AnswerSlackSeconds+c.rules.SocketSlackSeconds
	if isOver && hadEnoughTime && !c.hadPathFault(request.sidecar, PathToClients, request.startedAt, e.At) {
		c.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "no answer when its time was over")
	}
}

// endRequest records the outcome of a pending request. A request that has ended stays as it is.
func (c *Checker) endRequest(request *request, outcome outcome, at float64) {
	if request.outcome != pending {
		return
	}
	request.outcome, request.endedAt = outcome, at
	c.sidecars[request.sidecar].removePending(request)
	c.countEnded(request)
}

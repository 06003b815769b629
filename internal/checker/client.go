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

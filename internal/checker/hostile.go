package checker

// hostileClient is a connected client that must not be served.
type hostileClient struct {
	deadline       float64
	isSettled      bool     // it has received an answer or its connection has ended
	claimedRequest *request // whose id it uses; nil: none
}

// hostileConnected records a hostile client. A request whose id it uses can no longer be told from its own.
func (c *Checker) hostileConnected(e *Event) {
	c.costs.HostileClients++
	request := c.requests[e.Request]
	c.hostileClients[e.Connection] = &hostileClient{deadline: e.Deadline, claimedRequest: request}
	if request != nil {
		request.isIDReused = true
	}
}

// hostileEnded handles the first answer to a hostile client, or the end of its connection.
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

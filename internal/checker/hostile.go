package checker

// hostile is a client that may not be served.
type hostileClient struct {
	deadline       float64
	isSettled      bool
	claimedRequest *request // whose id it uses
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

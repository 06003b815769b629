package virtual

// sendReset tells the peer that the connection is no more. It is sent once: where it is lost the peer is not told
// before it sends something.
func (c *Conn) sendReset() {
	if c.peer == nil || c.machine.down {
		return
	}
	c.network.trace(Event{Kind: ResetSent, Process: c.process.options.Name, Peer: c.peerName(), Conn: c.id})
	c.lastArrivalAt = max(c.lastArrivalAt, c.network.arrivalTime(c.machine, c.peer.machine, c.network.now+c.process.turnSeconds))
	c.network.schedule(c.lastArrivalAt, scheduledEvent{kind: resetEvent, conn: c.peer})
}

// resetBy takes a reset. Bytes that have come before it can still be read, as on Linux. What was not confirmed is
// dropped. n is 1 where the network sent it and not the peer.
func (c *Conn) receiveReset(fromNetwork int32) {
	if c.state == discarded || c.resetReceived || fromNetwork == 0 && c.peer != nil && !c.peer.delivers(c) {
		return
	}
	c.resetReceived = true
	c.epoch++
	// Danger: what the socket had not taken still shows as such, until the process has been told. It is how a program knows
	// that a request has never been written whole.
	c.outbound = append(c.outbound[:0], c.outbound[c.outboundStart+c.inSocket:]...)
	c.outboundStart, c.inSocket, c.inFlight, c.arrived = 0, 0, 0, 0
	if c.state == orphaned {
		c.state = discarded
		return
	}
	if c.state == handshaking { // never accepted, and never will be
		c.state, c.listener = discarded, nil
		return
	}
	c.markReady()
}

// Reset has both ends of a connection told that it is no more, as a machine between them would.
func (n *Network) Reset(c *Conn) {
	for _, end := range [...]*Conn{c, c.peer} {
		if end != nil && end.state != discarded {
			n.schedule(n.now, scheduledEvent{kind: resetEvent, conn: end, n: 1})
		}
	}
}

// Silence has nothing pass on a connection any more, in either direction, with both ends open.
func (n *Network) Blackhole(c *Conn) {
	c.blackholed = true
	if c.peer != nil {
		c.peer.blackholed = true
	}
}

// shut sends a FIN behind what the socket holds.
func (c *Conn) closeWrite() {
	if !c.writeClosed && !c.resetReceived {
		c.writeClosed, c.closedAt, c.bytesReadAtClose = true, c.process.networkTime(), c.bytesRead
		if c.unacceptedBytes() == 0 {
			c.transmit()
		}
	}
}

// end tells the host of the connection's end, and closes it. What has not been sent is tried once and then dropped. Danger:
// bytes that nobody has read make it a reset, which destroys what the peer has not confirmed, on either side.
func (c *Conn) close(err error) {
	p := c.process
	p.removeConn(c)
	if c.closedAt == 0 {
		c.closedAt, c.bytesReadAtClose = p.networkTime(), c.bytesRead
	}
	if c.opened { // as gnet does, before the socket is closed
		p.network.hashCall(p.networkTime(), Closed, p, c.id, nil)
		p.network.trace(Event{At: p.networkTime(), Kind: Closed, Process: p.options.Name, Peer: c.peerName(), Conn: c.id, Err: err})
		p.handler.Closed(c, err)
		p.addCallTime()
	}
	if !c.writeClosed && !c.resetReceived {
		c.fillSocket()
	}
	c.outbound = c.outbound[:c.outboundStart+c.inSocket]
	switch {
	case c.resetReceived:
		c.state = discarded
	case c.unreadBytes() > 0:
		c.sendReset()
		c.state = discarded
	default:
		c.state, c.writeClosed = orphaned, true
		c.transmit()
	}
}

package virtual

// sendReset sends the peer a reset, once: where it is lost the peer learns of the end only when it sends something.
func (c *Conn) sendReset() {
	if c.peer == nil || c.machine.down {
		return
	}
	c.network.trace(Event{Kind: ResetSent, Process: c.process.options.Name, Peer: c.peerName(), Conn: c.id})
	c.lastArrivalAt = max(c.lastArrivalAt, c.network.arrivalTime(c.machine, c.peer.machine, c.network.now+c.process.turnSeconds))
	c.network.enqueueEvent(c.lastArrivalAt, scheduledEvent{kind: resetEvent, conn: c.peer})
}

// receiveReset handles a resetEvent. Bytes received before the reset can still be read, as on Linux; unacknowledged bytes are
// dropped. fromNetwork is 1 if the network injected the reset (Network.Reset) and 0 if the peer sent it, which a lossy path can
// lose.
func (c *Conn) receiveReset(fromNetwork int32) {
	if c.state == discarded || c.resetReceived || fromNetwork == 0 && c.peer != nil && !c.peer.delivers(c) {
		return
	}
	c.resetReceived = true
	c.epoch++
	// Danger: bytes that the socket had not accepted remain in OutboundBuffered until the handler is notified. By them a program
	// knows that a request was never sent completely.
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

// Reset resets a connection at both ends, as a middlebox would.
func (n *Network) Reset(c *Conn) {
	for _, end := range [...]*Conn{c, c.peer} {
		if end != nil && end.state != discarded {
			n.enqueueEvent(n.now, scheduledEvent{kind: resetEvent, conn: end, n: 1})
		}
	}
}

// Blackhole loses all further packets of a connection in both directions, with both ends open.
func (n *Network) Blackhole(c *Conn) {
	c.blackholed = true
	if c.peer != nil {
		c.peer.blackholed = true
	}
}

// closeWrite sends a FIN after the bytes in the socket.
func (c *Conn) closeWrite() {
	if !c.writeClosed && !c.resetReceived {
		c.writeClosed, c.closedAt, c.bytesReadAtClose = true, c.process.networkTime(), c.bytesRead
		if c.unacceptedBytes() == 0 {
			c.transmit()
		}
	}
}

// close calls Handler.Closed and closes the connection. Buffered bytes are offered to the socket once and then dropped. Danger:
// unread bytes turn the close into a reset, which destroys what the peer has not acknowledged, in either direction.
func (c *Conn) close(err error) {
	p := c.process
	p.removeConn(c)
	if c.closedAt == 0 {
		c.closedAt, c.bytesReadAtClose = p.networkTime(), c.bytesRead
	}
	if c.opened { // before the socket is closed, as in gnet
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

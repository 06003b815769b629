package virtual

// sendReset sends the peer a reset. It is not retransmitted: if it is lost, the peer learns of the end only when it sends something.
func (c *Conn) sendReset() {
	if c.peer == nil || c.machine.down {
		return
	}
	c.network.trace(Event{Kind: ResetSent, Process: c.process.options.Name, Peer: c.peerName(), Conn: c.id})
	c.lastArrivalAt = max(c.lastArrivalAt, c.network.arrivalTime(c.machine, c.peer.machine, c.network.now+c.process.turnSeconds))
	c.network.enqueueEvent(c.lastArrivalAt, scheduledEvent{kind: resetEvent, conn: c.peer})
}

// receiveReset handles a resetEvent. Bytes received before the reset can still be read, as on Linux; unacknowledged bytes are
// dropped. fromNetwork is 1 if the network injected the reset (see Network.Reset), and 0 if the peer sent it. Only the latter can be
// lost on a lossy path.
func (c *Conn) receiveReset(fromNetwork int32) {
	if c.state == discarded || c.resetReceived || fromNetwork == 0 && c.peer != nil && !c.peer.delivers(c) {
		return
	}
	c.resetReceived = true
	c.epoch++
	// Danger: OutboundBuffered must include the bytes that the socket had not accepted until the handler is notified. From them a
	// program knows that a request was never sent completely.
	c.outbound = append(c.outbound[:0], c.outbound[c.outboundStart+c.inSocket:]...)
	c.outboundStart, c.inSocket, c.inFlight, c.arrived = 0, 0, 0, 0
	if c.state == orphaned {
		c.state = discarded
		return
	}
	if c.state == handshaking { // the connection has not been accepted yet and will not be
		c.state, c.listener = discarded, nil
		return
	}
	c.markReady()
}

// Reset resets a connection at both ends, as a middlebox may do.
func (n *Network) Reset(c *Conn) {
	for _, end := range [...]*Conn{c, c.peer} {
		if end != nil && end.state != discarded {
			n.enqueueEvent(n.now, scheduledEvent{kind: resetEvent, conn: end, n: 1})
		}
	}
}

// Blackhole drops all further packets of a connection in both directions. Both ends stay open.
func (n *Network) Blackhole(c *Conn) {
	c.blackholed = true
	if c.peer != nil {
		c.peer.blackholed = true
	}
}

// closeWrite sends a FIN after the bytes that have been written.
func (c *Conn) closeWrite() {
	if !c.writeClosed && !c.resetReceived {
		c.writeClosed, c.closedAt, c.bytesReadAtClose = true, c.process.networkTime(), c.bytesRead
		if c.unacceptedBytes() == 0 {
			c.transmit()
		}
	}
}

// close calls Handler.Closed and closes the connection. Buffered bytes are moved to the socket as far as it has space, and the rest is
// dropped. As on Linux, a close with unread bytes sends a reset, and unacknowledged bytes in both directions are lost.
func (c *Conn) close(err error) {
	p := c.process
	p.removeConn(c)
	if c.closedAt == 0 {
		c.closedAt, c.bytesReadAtClose = p.networkTime(), c.bytesRead
	}
	if c.opened { // called before the socket is closed, as by gnet
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

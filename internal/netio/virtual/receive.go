package virtual

// maxReadSize is the maximum number of bytes passed to one call of Handler.Traffic.
const maxReadSize = 64 << 10

// slowReadIntervalSeconds is the minimum time between two reads of a connection with a read rate.
const slowReadIntervalSeconds = 0.02

// bufferInbound appends received bytes to the socket's receive buffer.
func (c *Conn) bufferInbound(data []byte) {
	if c.inboundStart > 0 && c.inboundStart == len(c.inbound) {
		c.inbound, c.inboundStart = c.inbound[:0], 0
	}
	c.inbound = append(c.inbound, data...)
	c.receivedAt = c.network.now
	c.markReady()
}

// markReady has the process's event loop handle the connection in its next turn.
func (c *Conn) markReady() {
	if c.isReady || c.listener != nil || !c.hasDescriptor || c.process.ended {
		return
	}
	c.isReady = true
	c.process.ready = append(c.process.ready, readyItem{conn: c})
	c.process.scheduleTurn()
}

// reportOpen calls Handler.Open, then done, which is nil for an accepted connection.
func (c *Conn) reportOpen(done func(error)) {
	p := c.process
	c.opened = true
	p.network.hashCall(p.networkTime(), Opened, p, c.id, nil)
	p.network.trace(Event{At: p.networkTime(), Kind: Opened, Process: p.options.Name, Peer: c.peerName(), Conn: c.id})
	keep := p.handler.Open(c)
	p.addCallTime()
	if !keep && c.hasDescriptor {
		c.close(nil)
	}
	if done != nil {
		done(nil)
		p.addCallTime()
	}
	if c.hasDescriptor && (c.unreadBytes() > 0 || c.finReceived || c.resetReceived) {
		c.markReady()
	}
}

// handleReady handles what has happened to the connection since the last turn: first space in the send buffer, then received bytes, then
// the end of the connection.
func (c *Conn) handleReady() {
	c.isReady = false
	if !c.hasDescriptor || !c.opened {
		return
	}
	if c.resetReceived && c.unacceptedBytes() > 0 {
		c.close(errBrokenPipe) // as with gnet, which writes before it reads: the write fails
		return
	}
	if c.writable && !c.resetReceived && !c.resumeWriting() {
		return
	}
	if c.paused && c.reportsClose && c.finReceived && !c.resetReceived {
		c.close(errReset) // the unread bytes are lost
		return
	}
	rate := c.effectiveReadRate()
	if (rate < 0 || c.paused) && !c.resetReceived {
		return
	}
	if c.unreadBytes() > 0 && !c.read(rate) {
		return
	}
	switch {
	case c.resetReceived:
		c.close(errReset)
	case c.finReceived:
		c.close(errEOF)
	}
}

// resumeWriting moves buffered bytes to the socket, which has space again. If a FIN is due or sent, the bytes can't be sent any more; it
// then closes the connection and returns false.
func (c *Conn) resumeWriting() bool {
	c.writable = false
	if c.writeClosed {
		c.close(errBrokenPipe)
		return false
	}
	c.fillSocket()
	c.transmit()
	return true
}

// effectiveReadRate returns the connection's read rate, or the process's if it has none.
func (c *Conn) effectiveReadRate() float64 {
	if c.readRate == 0 {
		return c.process.options.ReadRate
	}
	return c.readRate
}

// read passes unread bytes to the handler, limited by maxReadSize and the rate. It returns true if the connection is still open and no
// bytes are left unread. If bytes are left, it schedules the next read.
func (c *Conn) read(rate float64) bool {
	p := c.process
	n := min(c.unreadBytes(), maxReadSize)
	if rate > 0 && !c.resetReceived {
		if c.nextReadAt > p.network.now {
			c.scheduleRead()
			return false
		}
		n = min(n, max(int(rate*slowReadIntervalSeconds), 1))
		c.nextReadAt = p.network.now + max(slowReadIntervalSeconds, float64(n)/rate)
	}
	data := c.inbound[c.inboundStart : c.inboundStart+n : c.inboundStart+n]
	c.inboundStart += n
	c.bytesRead += uint64(n)
	c.peerWroteAt = c.peer.takeWriteTime(c.bytesRead)
	p.network.hashCall(p.networkTime(), Received, p, c.id, data)
	p.network.trace(Event{At: p.networkTime(), Kind: Received, Process: p.options.Name, Peer: c.peerName(), Conn: c.id, N: n, Data: data})
	c.sendWindowUpdate()
	p.handler.Traffic(c, data)
	p.addCallTime()
	switch {
	case !c.hasDescriptor:
		return false
	case c.unreadBytes() == 0:
		return true
	case rate > 0:
		c.scheduleRead()
	default:
		c.markReady()
	}
	return false
}

// scheduleRead schedules the next read of a connection with a read rate.
func (c *Conn) scheduleRead() {
	if !c.readScheduled {
		c.readScheduled = true
		c.network.enqueueEvent(c.nextReadAt, scheduledEvent{kind: readEvent, conn: c})
	}
}

// resumeRead handles a readEvent.
func (c *Conn) resumeRead() {
	c.readScheduled = false
	c.markReady()
}

// sendWindowUpdate notifies the peer if it is waiting for space in the receive window.
func (c *Conn) sendWindowUpdate() {
	if c.windowUpdateDue {
		c.windowUpdateDue = false
		c.network.enqueueEvent(c.network.arrivalTime(c.machine, c.peer.machine, c.network.now+c.process.turnSeconds), scheduledEvent{kind: windowUpdateEvent, conn: c.peer})
	}
}

package virtual

// readChunk is the most that one call of Traffic brings.
const maxReadSize = 64 << 10

// slowReadS is the time between two reads of a slow reader.
const slowReadIntervalSeconds = 0.02

// receive takes bytes into the socket.
func (c *Conn) bufferInbound(data []byte) {
	if c.inboundStart > 0 && c.inboundStart == len(c.inbound) {
		c.inbound, c.inboundStart = c.inbound[:0], 0
	}
	c.inbound = append(c.inbound, data...)
	c.receivedAt = c.network.now
	c.markReady()
}

// notify has the process look at the connection in its next turn.
func (c *Conn) markReady() {
	if c.isReady || c.listener != nil || !c.hasDescriptor || c.process.ended {
		return
	}
	c.isReady = true
	c.process.ready = append(c.process.ready, readyItem{conn: c})
	c.process.scheduleTurn()
}

// open gives the connection to the host. done is called after that.
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

// serve hands over what has come.
func (c *Conn) handleReady() {
	c.isReady = false
	if !c.hasDescriptor || !c.opened {
		return
	}
	p := c.process
	if c.resetReceived && c.unacceptedBytes() > 0 {
		c.close(errBrokenPipe) // writing goes first, and finds the end
		return
	}
	if c.writable && !c.resetReceived {
		c.writable = false
		if c.writeClosed {
			c.close(errBrokenPipe)
			return
		}
		c.fillSocket()
		c.transmit()
	}
	rate := c.readRate
	if rate == 0 {
		rate = p.options.ReadRate
	}
	if c.paused && c.reportsClose && c.finReceived && !c.resetReceived {
		c.close(errReset) // what lies unread is lost
		return
	}
	if (rate < 0 || c.paused) && !c.resetReceived {
		return
	}
	if n := c.unreadBytes(); n > 0 {
		n = min(n, maxReadSize)
		if rate > 0 && !c.resetReceived {
			if c.nextReadAt > p.network.now {
				c.scheduleRead()
				return
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
		if !c.hasDescriptor {
			return
		}
		if c.unreadBytes() > 0 {
			if rate > 0 {
				c.scheduleRead()
			} else {
				c.markReady()
			}
			return
		}
	}
	switch {
	case c.resetReceived:
		c.close(errReset)
	case c.finReceived:
		c.close(errEOF)
	}
}

// readLater has a slow reader come back.
func (c *Conn) scheduleRead() {
	if !c.readScheduled {
		c.readScheduled = true
		c.network.schedule(c.nextReadAt, scheduledEvent{kind: readEvent, conn: c})
	}
}

func (c *Conn) resumeRead() {
	c.readScheduled = false
	c.markReady()
}

// tellWindow has a peer that waited for room go on.
func (c *Conn) sendWindowUpdate() {
	if c.windowUpdateDue {
		c.windowUpdateDue = false
		c.network.schedule(c.network.arrivalTime(c.machine, c.peer.machine, c.network.now+c.process.turnSeconds), scheduledEvent{kind: windowUpdateEvent, conn: c.peer})
	}
}

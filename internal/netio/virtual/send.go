package virtual

import "net"

// The timeouts of TCP before a retransmission. Each is twice the one before.
const (
	initialRetransmitSeconds = 0.2
	maxRetransmitSeconds     = 10.0
	initialSynTimeoutSeconds = 1.0
)

// writeMark records when the bytes up to an offset of the stream (end) were written.
type writeMark struct {
	end uint64
	at  float64
}

// Write implements netio.Conn. As with gnet, if the connection turns out to be broken, it is closed and the handler is notified before
// Write returns.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.hasDescriptor {
		return 0, net.ErrClosed
	}
	c.network.trace(Event{At: c.process.networkTime(), Kind: Sent, Process: c.process.options.Name, Peer: c.peerName(), Conn: c.id, N: len(p), Data: p})
	if c.unacceptedBytes() == 0 && (c.resetReceived || c.writeClosed && len(p) > 0) {
		c.close(errBrokenPipe)
		return 0, errBrokenPipe
	}
	if c.outboundStart > 0 && c.outboundStart == len(c.outbound) {
		c.outbound, c.outboundStart = c.outbound[:0], 0
	}
	c.outbound = append(c.outbound, p...)
	c.bytesWritten += uint64(len(p))
	c.writeMarks = append(c.writeMarks, writeMark{c.bytesWritten, c.process.networkTime()})
	if !c.writable {
		c.fillSocket()
	}
	c.transmit()
	return len(p), nil
}

// fillSocket moves buffered bytes to the socket's send buffer, as far as it has space.
func (c *Conn) fillSocket() {
	c.inSocket += max(min(c.unacceptedBytes(), c.process.options.SendBuffer-c.inSocket), 0)
}

// transmit sends the unsent bytes of the socket as far as the peer's receive window and the path's rate allow, in segments of random
// size, and the FIN after the last byte.
func (c *Conn) transmit() {
	if c.state == discarded || c.resetReceived || c.segmentLost || c.peer == nil || c.state == handshaking {
		return
	}
	size := c.unsentBytes()
	if room := c.peer.receiveWindow - c.peer.unreadBytes() - c.inFlight; size > room {
		size, c.peer.windowUpdateDue = max(room, 0), true
	}
	if bytesPerSecond := c.network.paths[c.machine.number][c.peer.machine.number].BytesPerSecond; bytesPerSecond > 0 && size > 0 {
		size = c.limitToRate(size, bytesPerSecond)
	}
	for size > 0 {
		segmentSize := size
		if c.network.SplitEveryByte {
			segmentSize = 1
		} else if segmentSize > 1 && c.network.SplitProbability > 0 && c.network.rand.Float64() < c.network.SplitProbability {
			segmentSize = 1 + c.network.rand.IntN(segmentSize-1)
		}
		size -= segmentSize
		c.inFlight += segmentSize
		c.sendSegment(segmentSize, c.claimFin())
	}
	if c.claimFin() {
		c.sendSegment(0, true)
	}
}

// rateBurstSeconds is the size of a burst on a path with a limited rate: the bytes of this many seconds are sent at once.
const rateBurstSeconds = 0.05

// limitToRate returns how many of n bytes may be sent now on a path with a limited rate, and schedules the sending of the rest.
func (c *Conn) limitToRate(n int, bytesPerSecond float64) int {
	if c.nextSendAt > c.network.now {
		n = 0
	} else {
		n = min(n, max(int(bytesPerSecond*rateBurstSeconds), 1))
		c.nextSendAt = c.network.now + float64(n)/bytesPerSecond
	}
	if !c.sendScheduled && c.unsentBytes() > n {
		c.sendScheduled = true
		c.network.enqueueEvent(c.nextSendAt, scheduledEvent{kind: rateEvent, conn: c})
	}
	return n
}

// resumeTransmit handles a rateEvent: it sends the bytes that limitToRate has delayed.
func (c *Conn) resumeTransmit() {
	c.sendScheduled = false
	c.transmit()
}

// claimFin reports whether the FIN can be sent now, and marks it as sent. It is sent with the last bytes or in a segment of its own.
func (c *Conn) claimFin() bool {
	if !c.writeClosed || c.finSent || c.unsentBytes() > 0 || c.unacceptedBytes() > 0 {
		return false
	}
	c.finSent = true
	return true
}

// sendSegment schedules the arrival of a segment of n bytes, not before that of the segments sent earlier.
func (c *Conn) sendSegment(n int, fin bool) {
	c.lastArrivalAt = max(c.lastArrivalAt, c.network.arrivalTime(c.machine, c.peer.machine, c.network.now+c.process.turnSeconds))
	c.network.enqueueEvent(c.lastArrivalAt, scheduledEvent{kind: segmentEvent, conn: c, n: int32(n), fin: fin, epoch: c.epoch})
}

// delivers reports whether a packet from this end that would arrive now at the other end is delivered. On a lossy path this is random.
func (c *Conn) delivers(to *Conn) bool {
	return !c.blackholed && c.network.delivers(c.machine, to.machine)
}

// deliverSegment handles a segmentEvent: a segment sent by c arrives at the peer. The acknowledgement arrives at once, unless the path
// back loses it.
func (c *Conn) deliverSegment(n int, fin bool, epoch uint32) {
	if epoch != c.epoch || c.resetReceived {
		return
	}
	to := c.peer
	if !c.delivers(to) {
		c.network.trace(Event{Kind: Lost, Process: c.process.options.Name, Peer: to.process.options.Name, Conn: c.id, N: n})
		c.loseInFlight()
		return
	}
	if to.state == discarded || to.resetReceived || to.state == orphaned && n > 0 {
		// As on Linux, bytes for a socket that its process has closed reset the connection. What the socket still had to send is lost.
		to.sendReset()
		to.state = discarded
		c.loseInFlight()
		return
	}
	c.handshakeAckInFlight = false
	if to.state == handshaking {
		to.establish()
	}
	if n > 0 {
		at := c.outboundStart + c.arrived
		to.bufferInbound(c.outbound[at : at+n])
		c.inFlight -= n
		c.arrived += n
	}
	if fin {
		c.finDelivered, to.finReceived = true, true
		to.markReady()
	}
	if to.delivers(c) {
		c.acknowledge()
	} else {
		c.scheduleRetransmit()
	}
}

// acknowledge removes the bytes that have arrived at the peer from the send buffer.
func (c *Conn) acknowledge() {
	if c.arrived == 0 {
		return
	}
	c.outboundStart += c.arrived
	c.inSocket -= c.arrived
	c.arrived, c.retransmitSeconds = 0, 0
	if c.outboundStart == len(c.outbound) {
		c.outbound, c.outboundStart = c.outbound[:0], 0
	} else if c.unacceptedBytes() > 0 && c.hasDescriptor {
		c.writable = true
		c.markReady()
	}
	if c.outboundStart > 256<<10 {
		c.outbound, c.outboundStart = append(c.outbound[:0], c.outbound[c.outboundStart:]...), 0
	}
}

// loseInFlight marks all segments in flight as lost and schedules their retransmission.
func (c *Conn) loseInFlight() {
	c.epoch++
	c.segmentLost = true
	c.scheduleRetransmit()
}

// scheduleRetransmit schedules a retransmission with exponential backoff, unless one is scheduled.
func (c *Conn) scheduleRetransmit() {
	if c.retransmitScheduled || c.state == discarded {
		return
	}
	c.retransmitScheduled = true
	c.retransmitSeconds = min(max(2*c.retransmitSeconds, initialRetransmitSeconds), maxRetransmitSeconds)
	c.network.enqueueEvent(c.network.now+c.retransmitSeconds, scheduledEvent{kind: retransmitEvent, conn: c})
}

// retransmit handles a retransmitEvent: it resends what was lost, or has the peer repeat a lost acknowledgement.
func (c *Conn) retransmit() {
	c.retransmitScheduled = false
	if c.state == discarded || c.resetReceived {
		return
	}
	if c.segmentLost {
		c.segmentLost = false
		if c.inFlight > 0 || c.handshakeAckInFlight || c.finSent && !c.finDelivered {
			c.sendSegment(c.inFlight, c.finSent && !c.finDelivered)
		}
	} else if c.arrived > 0 {
		if c.delivers(c.peer) && c.peer.delivers(c) {
			if c.peer.state == discarded { // the peer does not know the connection any more
				c.peer.sendReset()
			}
			c.acknowledge()
		} else {
			c.scheduleRetransmit()
		}
	}
	c.transmit()
}

// takeWriteTime returns when the byte before offset was written, and drops the marks that are not needed any more.
func (c *Conn) takeWriteTime(offset uint64) float64 {
	i := 0
	for c.writeMarks[i].end < offset {
		i++
	}
	at := c.writeMarks[i].at
	if c.writeMarks[i].end == offset {
		i++
	}
	c.writeMarks = append(c.writeMarks[:0], c.writeMarks[i:]...)
	return at
}

// receiveWindowUpdate handles a windowUpdateEvent: the peer's receive window has space again.
func (c *Conn) receiveWindowUpdate() {
	if c.peer.delivers(c) {
		c.transmit()
	} else {
		c.scheduleRetransmit()
	}
}

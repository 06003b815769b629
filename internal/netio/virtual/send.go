package virtual

import "net"

// The waits of TCP before what is lost is sent again, in seconds; each next one is twice as long.
const (
	initialRetransmitSeconds = 0.2
	maxRetransmitSeconds     = 10.0
	initialSynTimeoutSeconds = 1.0
)

// mark says when the bytes up to a place were written.
type writeMark struct {
	end uint64
	at  float64
}

// Write sends p, and keeps what the socket does not take.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.hasDescriptor {
		return 0, net.ErrClosed
	}
	c.network.trace(Event{At: c.process.networkTime(), Kind: Sent, Process: c.process.options.Name, Peer: c.peerName(), Conn: c.id, N: len(p), Data: p})
	if c.unacceptedBytes() == 0 && (c.resetReceived || c.writeClosed && len(p) > 0) {
		c.close(errBrokenPipe) // as gnet does, before Write returns
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

// fillSocket gives the socket what it has room for.
func (c *Conn) fillSocket() {
	c.inSocket += max(min(c.unacceptedBytes(), c.process.options.SendBuffer-c.inSocket), 0)
}

// push sends what waits in the socket, as far as the peer's window goes.
func (c *Conn) transmit() {
	if c.state == discarded || c.resetReceived || c.segmentLost || c.peer == nil || c.state == handshaking {
		return
	}
	n := c.unsentBytes()
	if room := c.peer.receiveWindow - c.peer.unreadBytes() - c.inFlight; n > room {
		n, c.peer.windowUpdateDue = max(room, 0), true
	}
	if perS := c.network.paths[c.machine.number][c.peer.machine.number].BytesPerSecond; perS > 0 && n > 0 {
		n = c.limitToRate(n, perS)
	}
	for n > 0 {
		k := n
		if c.network.SplitEveryByte {
			k = 1
		} else if k > 1 && c.network.SplitProbability > 0 && c.network.rand.Float64() < c.network.SplitProbability {
			k = 1 + c.network.rand.IntN(k-1)
		}
		n -= k
		c.inFlight += k
		c.sendSegment(k, c.claimFin())
	}
	if c.claimFin() {
		c.sendSegment(0, true)
	}
}

// paceS is the time for which a paced connection sends at once.
const rateBurstSeconds = 0.05

// pace returns how many of so many bytes a path that takes so many a second takes now; the rest goes on later.
func (c *Conn) limitToRate(n int, perS float64) int {
	if c.nextSendAt > c.network.now {
		n = 0
	} else {
		n = min(n, max(int(perS*rateBurstSeconds), 1))
		c.nextSendAt = c.network.now + float64(n)/perS
	}
	if !c.sendScheduled && c.unsentBytes() > n {
		c.sendScheduled = true
		c.network.schedule(c.nextSendAt, scheduledEvent{kind: rateEvent, conn: c})
	}
	return n
}

// goOn sends what a pace has held back.
func (c *Conn) resumeTransmit() {
	c.sendScheduled = false
	c.transmit()
}

// finNow tells whether the FIN can go now, and notes that it does. A FIN rides on the last bytes or goes alone.
func (c *Conn) claimFin() bool {
	if !c.writeClosed || c.finSent || c.unsentBytes() > 0 || c.unacceptedBytes() > 0 {
		return false
	}
	c.finSent = true
	return true
}

func (c *Conn) sendSegment(n int, fin bool) {
	c.lastArrivalAt = max(c.lastArrivalAt, c.network.arrivalTime(c.machine, c.peer.machine, c.network.now+c.process.turnSeconds))
	c.network.schedule(c.lastArrivalAt, scheduledEvent{kind: segmentEvent, conn: c, n: int32(n), fin: fin, epoch: c.epoch})
}

// passes tells whether a packet of this connection that would arrive at its end now does.
func (c *Conn) delivers(to *Conn) bool {
	return !c.blackholed && c.network.delivers(c.machine, to.machine)
}

// arrive takes a segment of this end at the other.
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
		// Danger: as on Linux, bytes for a socket that its process has closed end it, with what it still has to send.
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

// confirm takes the peer's word for all that has arrived.
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

// lose notes that what is under way will not arrive; it is sent again later.
func (c *Conn) loseInFlight() {
	c.epoch++
	c.segmentLost = true
	c.scheduleRetransmit()
}

func (c *Conn) scheduleRetransmit() {
	if c.retransmitScheduled || c.state == discarded {
		return
	}
	c.retransmitScheduled = true
	c.retransmitSeconds = min(max(2*c.retransmitSeconds, initialRetransmitSeconds), maxRetransmitSeconds)
	c.network.schedule(c.network.now+c.retransmitSeconds, scheduledEvent{kind: retransmitEvent, conn: c})
}

// resend sends again what the peer has not confirmed.
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
			if c.peer.state == discarded { // it knows nothing of the connection any more
				c.peer.sendReset()
			}
			c.acknowledge()
		} else {
			c.scheduleRetransmit()
		}
	}
	c.transmit()
}

// writtenAt returns when the byte before a place was written, and forgets those before it.
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

// opensWindow takes the peer's word that it has room again.
func (c *Conn) receiveWindowUpdate() {
	if c.peer.delivers(c) {
		c.transmit()
	} else {
		c.scheduleRetransmit()
	}
}

package virtual

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// What connections end with.
var (
	errReset         = os.NewSyscallError("read", syscall.ECONNRESET)
	errBrokenPipe    = os.NewSyscallError("write", syscall.EPIPE)
	errRefused       = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errTooManyFiles  = os.NewSyscallError("socket", syscall.EMFILE)
	errTimeout       = os.NewSyscallError("connect", syscall.ETIMEDOUT)
	errDialCancelled = errors.New("dial given up")
	errEOF           = fmt.Errorf("read: %w", io.EOF)
)

// The waits of TCP before what is lost is sent again, in seconds; each next one is twice as long.
const (
	initialRetransmitSeconds = 0.2
	maxRetransmitSeconds     = 10.0
	initialSynTimeoutSeconds = 1.0
)

// readChunk is the most that one call of Traffic brings.
const maxReadSize = 64 << 10

// slowReadS is the time between two reads of a slow reader.
const slowReadIntervalSeconds = 0.02

type connState uint8

const (
	handshaking connState = iota // a SYN has come, or gone
	established                  // the handshake is over
	orphaned                     // the process has closed it; what it has written is still sent
	discarded                    // nothing is known of it any more
)

// Conn is one end of a connection: what the process sees of it, and the socket behind.
//
// What its process has written and its peer has not confirmed is in out, from head on: first the bytes that have
// arrived, then those under way, then those that wait in the socket, then those that the socket has not taken.
type Conn struct {
	network       *Network
	process       *Process // whose end it is
	machine       *Machine
	peer          *Conn
	id            uint64
	dialed        bool
	local         netip.AddrPort
	remote        netip.AddrPort
	remoteAddr    net.Addr // remote, once somebody has asked
	context       any
	state         connState
	listener      *listener // that has not accepted it yet
	hasDescriptor bool      // the process holds it
	index         int       // among the process's connections
	opened        bool      // the host has been given it
	isReady       bool      // for the next turn

	outbound             []byte
	outboundStart        int
	arrived              int
	inFlight             int
	inSocket             int // arrived, under way or waiting in the socket
	lastArrivalAt        float64
	epoch                uint32 // of segments: what was lost on the way is not to arrive with those sent again
	segmentLost          bool
	retransmitSeconds    float64
	retransmitScheduled  bool
	handshakeAckInFlight bool // the handshake's last packet is under way
	writeClosed          bool // no more will be written
	finSent              bool
	finDelivered         bool // the peer has it
	writable             bool // the socket has room again

	inbound         []byte
	inboundStart    int
	finReceived     bool
	resetReceived   bool
	receiveWindow   int
	readRate        float64
	nextReadAt      float64 // of a slow reader: when it reads on
	readScheduled   bool    // an event for that waits
	paused          bool    // the process does not read on
	reportsClose    bool    // and is told of the peer's end all the same
	windowUpdateDue bool    // the peer has more than this end's window takes
	blackholed      bool    // nothing passes any more
	nextSendAt      float64 // when the path takes more
	sendScheduled   bool    // an event for that waits

	bytesWritten     uint64      // bytes that the process has written so far
	bytesRead        uint64      // that it has been given
	writeMarks       []writeMark // of what was written and the peer's process has not been given yet
	peerWroteAt      float64
	closedAt         float64
	bytesReadAtClose uint64 // how much it had been given when it ended its direction

	receivedAt float64 // when bytes last came into the socket
}

// mark says when the bytes up to a place were written.
type writeMark struct {
	end uint64
	at  float64
}

// ID returns the connection's number, which is that of both ends.
func (c *Conn) ID() uint64 { return c.id }

// Peer returns the other end; nil before it is there.
func (c *Conn) Peer() *Conn { return c.peer }

// PeerWrote returns when the last byte that has been given to this end's process was written; 0: there was none.
func (c *Conn) PeerWrote() float64 { return c.peerWroteAt }

// PeerEnded returns when the other side has ended the connection or its own direction of it; 0: it has not.
func (c *Conn) PeerEnded() float64 {
	if c.peer == nil {
		return 0
	}
	return c.peer.closedAt
}

// PeerRead tells whether the other side's process had been given all that this one has written when it ended the connection or its own
// direction of it.
func (c *Conn) PeerRead() bool {
	return c.peer != nil && c.peer.closedAt > 0 && c.peer.bytesReadAtClose >= c.bytesWritten
}

// Process returns whose end it is.
func (c *Conn) Process() *Process { return c.process }

// Dialed tells whether this end has dialed the other.
func (c *Conn) Dialed() bool { return c.dialed }

// LocalAddr returns this end's address and port.
func (c *Conn) LocalAddr() net.Addr { return tcpAddr(c.local) }

func (c *Conn) unreadBytes() int     { return len(c.inbound) - c.inboundStart }
func (c *Conn) unacceptedBytes() int { return len(c.outbound) - c.outboundStart - c.inSocket }
func (c *Conn) unsentBytes() int     { return c.inSocket - c.arrived - c.inFlight }

// OutboundBuffered returns how many bytes the socket has not taken.
func (c *Conn) OutboundBuffered() int { return c.unacceptedBytes() }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr {
	if c.remoteAddr == nil {
		c.remoteAddr = tcpAddr(c.remote)
	}
	return c.remoteAddr
}

// Context returns what the host has attached.
func (c *Conn) Context() any { return c.context }

// SetContext attaches something for the host.
func (c *Conn) SetContext(context any) { c.context = context }

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

// opensWindow takes the peer's word that it has room again.
func (c *Conn) receiveWindowUpdate() {
	if c.peer.delivers(c) {
		c.transmit()
	} else {
		c.scheduleRetransmit()
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

func (c *Conn) peerName() string {
	if c.network.Trace == nil {
		return ""
	}
	if c.peer != nil && c.peer.process != nil {
		return c.peer.process.options.Name
	}
	return c.remote.String()
}

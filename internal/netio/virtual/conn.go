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
	errReset   = os.NewSyscallError("read", syscall.ECONNRESET)
	errPipe    = os.NewSyscallError("write", syscall.EPIPE)
	errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errFiles   = os.NewSyscallError("socket", syscall.EMFILE)
	errTimeout = os.NewSyscallError("connect", syscall.ETIMEDOUT)
	errGivenUp = errors.New("dial given up")
	errEOF     = fmt.Errorf("read: %w", io.EOF)
)

// The waits of TCP before what is lost is sent again, in seconds; each next one is twice as long.
const (
	firstResendS = 0.2
	mostResendS  = 10.0
	firstSynS    = 1.0
)

// readChunk is the most that one call of Traffic brings.
const readChunk = 64 << 10

// slowReadS is the time between two reads of a slow reader.
const slowReadS = 0.02

type connState uint8

const (
	embryonic connState = iota // a SYN has come, or gone
	up                         // the handshake is over
	orphan                     // the process has closed it; what it has written is still sent
	dead                       // nothing is known of it any more
)

// Conn is one end of a connection: what the process sees of it, and the socket behind.
//
// What its process has written and its peer has not confirmed is in out, from head on: first the bytes that have
// arrived, then those under way, then those that wait in the socket, then those that the socket has not taken.
type Conn struct {
	w       *Network
	p       *Process // whose end it is
	machine *Machine
	peer    *Conn
	id      uint64
	dialed  bool
	local   netip.AddrPort
	remote  netip.AddrPort
	address net.Addr // remote, once somebody has asked
	context any
	state   connState
	listen  *listener // that has not accepted it yet
	fd      bool      // the process holds it
	place   int       // among the process's connections
	told    bool      // the host has been given it
	queued  bool      // for the next turn

	out      []byte
	head     int
	arrived  int
	flight   int
	sock     int // arrived, under way or waiting in the socket
	lastAt   float64
	epoch    uint32 // of segments: what was lost on the way is not to arrive with those sent again
	lost     bool
	resendS  float64
	resendOn bool
	ackDue   bool // the handshake's last packet is under way
	finDue   bool // no more will be written
	finSent  bool
	finOver  bool // the peer has it
	writable bool // the socket has room again

	in       []byte
	inHead   int
	finIn    bool
	resetIn  bool
	window   int
	readRate float64
	readAt   float64 // of a slow reader: when it reads on
	readOn   bool    // an event for that waits
	paused   bool    // the process does not read on
	endsShow bool    // and is told of the peer's end all the same
	starved  bool    // the peer has more than this end's window takes
	silent   bool    // nothing passes any more
	paceAt   float64 // when the path takes more
	paceOn   bool    // an event for that waits

	written  uint64 // bytes that the process has written so far
	read     uint64 // that it has been given
	marks    []mark // of what was written and the peer's process has not been given yet
	wroteAt  float64
	endedAt  float64
	readThen uint64 // how much it had been given when it ended its direction

	receivedAt float64 // when bytes last came into the socket
}

// mark says when the bytes up to a place were written.
type mark struct {
	end uint64
	at  float64
}

// ID returns the connection's number, which is that of both ends.
func (c *Conn) ID() uint64 { return c.id }

// Peer returns the other end; nil before it is there.
func (c *Conn) Peer() *Conn { return c.peer }

// PeerWrote returns when the last byte that has been given to this end's process was written; 0: there was none.
func (c *Conn) PeerWrote() float64 { return c.wroteAt }

// PeerEnded returns when the other side has ended the connection or its own direction of it; 0: it has not.
func (c *Conn) PeerEnded() float64 {
	if c.peer == nil {
		return 0
	}
	return c.peer.endedAt
}

// PeerRead tells whether the other side's process had been given all that this one has written when it ended the connection or its own
// direction of it.
func (c *Conn) PeerRead() bool {
	return c.peer != nil && c.peer.endedAt > 0 && c.peer.readThen >= c.written
}

// Process returns whose end it is.
func (c *Conn) Process() *Process { return c.p }

// Dialed tells whether this end has dialed the other.
func (c *Conn) Dialed() bool { return c.dialed }

// LocalAddr returns this end's address and port.
func (c *Conn) LocalAddr() net.Addr { return tcpAddr(c.local) }

func (c *Conn) unread() int { return len(c.in) - c.inHead }
func (c *Conn) user() int   { return len(c.out) - c.head - c.sock }
func (c *Conn) unsent() int { return c.sock - c.arrived - c.flight }

// OutboundBuffered returns how many bytes the socket has not taken.
func (c *Conn) OutboundBuffered() int { return c.user() }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr {
	if c.address == nil {
		c.address = tcpAddr(c.remote)
	}
	return c.address
}

// Context returns what the host has attached.
func (c *Conn) Context() any { return c.context }

// SetContext attaches something for the host.
func (c *Conn) SetContext(context any) { c.context = context }

// Write sends p, and keeps what the socket does not take.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.fd {
		return 0, net.ErrClosed
	}
	c.w.trace(Event{At: c.p.real(), Kind: Sent, Process: c.p.opt.Name, Peer: c.peerName(), Conn: c.id, N: len(p), Data: p})
	if c.user() == 0 && (c.resetIn || c.finDue && len(p) > 0) {
		c.end(errPipe) // as gnet does, before Write returns
		return 0, errPipe
	}
	if c.head > 0 && c.head == len(c.out) {
		c.out, c.head = c.out[:0], 0
	}
	c.out = append(c.out, p...)
	c.written += uint64(len(p))
	c.marks = append(c.marks, mark{c.written, c.p.real()})
	if !c.writable {
		c.fillSocket()
	}
	c.push()
	return len(p), nil
}

// fillSocket gives the socket what it has room for.
func (c *Conn) fillSocket() {
	c.sock += max(min(c.user(), c.p.opt.SendBuffer-c.sock), 0)
}

// push sends what waits in the socket, as far as the peer's window goes.
func (c *Conn) push() {
	if c.state == dead || c.resetIn || c.lost || c.peer == nil || c.state == embryonic {
		return
	}
	n := c.unsent()
	if room := c.peer.window - c.peer.unread() - c.flight; n > room {
		n, c.peer.starved = max(room, 0), true
	}
	if perS := c.w.paths[c.machine.number][c.peer.machine.number].BytesPerSecond; perS > 0 && n > 0 {
		n = c.pace(n, perS)
	}
	for n > 0 {
		k := n
		if c.w.SplitEveryByte {
			k = 1
		} else if k > 1 && c.w.SplitProbability > 0 && c.w.rand.Float64() < c.w.SplitProbability {
			k = 1 + c.w.rand.IntN(k-1)
		}
		n -= k
		c.flight += k
		c.sendSegment(k, c.finNow())
	}
	if c.finNow() {
		c.sendSegment(0, true)
	}
}

// paceS is the time for which a paced connection sends at once.
const paceS = 0.05

// pace returns how many of so many bytes a path that takes so many a second takes now; the rest goes on later.
func (c *Conn) pace(n int, perS float64) int {
	if c.paceAt > c.w.now {
		n = 0
	} else {
		n = min(n, max(int(perS*paceS), 1))
		c.paceAt = c.w.now + float64(n)/perS
	}
	if !c.paceOn && c.unsent() > n {
		c.paceOn = true
		c.w.schedule(c.paceAt, event{kind: doPace, conn: c})
	}
	return n
}

// goOn sends what a pace has held back.
func (c *Conn) goOn() {
	c.paceOn = false
	c.push()
}

// finNow tells whether the FIN can go now, and notes that it does. A FIN rides on the last bytes or goes alone.
func (c *Conn) finNow() bool {
	if !c.finDue || c.finSent || c.unsent() > 0 || c.user() > 0 {
		return false
	}
	c.finSent = true
	return true
}

func (c *Conn) sendSegment(n int, fin bool) {
	c.lastAt = max(c.lastAt, c.w.travel(c.machine, c.peer.machine, c.w.now+c.p.spent))
	c.w.schedule(c.lastAt, event{kind: doSegment, conn: c, n: int32(n), fin: fin, epoch: c.epoch})
}

// passes tells whether a packet of this connection that would arrive at its end now does.
func (c *Conn) passes(to *Conn) bool { return !c.silent && c.w.passes(c.machine, to.machine) }

// arrive takes a segment of this end at the other.
func (c *Conn) arrive(n int, fin bool, epoch uint32) {
	if epoch != c.epoch || c.resetIn {
		return
	}
	to := c.peer
	if !c.passes(to) {
		c.w.trace(Event{Kind: Lost, Process: c.p.opt.Name, Peer: to.p.opt.Name, Conn: c.id, N: n})
		c.lose()
		return
	}
	if to.state == dead || to.resetIn || to.state == orphan && n > 0 {
		// Danger: as on Linux, bytes for a socket that its process has closed end it, with what it still has to send.
		to.sendReset()
		to.state = dead
		c.lose()
		return
	}
	c.ackDue = false
	if to.state == embryonic {
		to.establish()
	}
	if n > 0 {
		at := c.head + c.arrived
		to.receive(c.out[at : at+n])
		c.flight -= n
		c.arrived += n
	}
	if fin {
		c.finOver, to.finIn = true, true
		to.notify()
	}
	if to.passes(c) {
		c.confirm()
	} else {
		c.awaitResend()
	}
}

// confirm takes the peer's word for all that has arrived.
func (c *Conn) confirm() {
	if c.arrived == 0 {
		return
	}
	c.head += c.arrived
	c.sock -= c.arrived
	c.arrived, c.resendS = 0, 0
	if c.head == len(c.out) {
		c.out, c.head = c.out[:0], 0
	} else if c.user() > 0 && c.fd {
		c.writable = true
		c.notify()
	}
	if c.head > 256<<10 {
		c.out, c.head = append(c.out[:0], c.out[c.head:]...), 0
	}
}

// lose notes that what is under way will not arrive; it is sent again later.
func (c *Conn) lose() {
	c.epoch++
	c.lost = true
	c.awaitResend()
}

func (c *Conn) awaitResend() {
	if c.resendOn || c.state == dead {
		return
	}
	c.resendOn = true
	c.resendS = min(max(2*c.resendS, firstResendS), mostResendS)
	c.w.schedule(c.w.now+c.resendS, event{kind: doResend, conn: c})
}

// resend sends again what the peer has not confirmed.
func (c *Conn) resend() {
	c.resendOn = false
	if c.state == dead || c.resetIn {
		return
	}
	if c.lost {
		c.lost = false
		if c.flight > 0 || c.ackDue || c.finSent && !c.finOver {
			c.sendSegment(c.flight, c.finSent && !c.finOver)
		}
	} else if c.arrived > 0 {
		if c.passes(c.peer) && c.peer.passes(c) {
			if c.peer.state == dead { // it knows nothing of the connection any more
				c.peer.sendReset()
			}
			c.confirm()
		} else {
			c.awaitResend()
		}
	}
	c.push()
}

// receive takes bytes into the socket.
func (c *Conn) receive(data []byte) {
	if c.inHead > 0 && c.inHead == len(c.in) {
		c.in, c.inHead = c.in[:0], 0
	}
	c.in = append(c.in, data...)
	c.receivedAt = c.w.now
	c.notify()
}

// notify has the process look at the connection in its next turn.
func (c *Conn) notify() {
	if c.queued || c.listen != nil || !c.fd || c.p.dead {
		return
	}
	c.queued = true
	c.p.ready = append(c.p.ready, item{conn: c})
	c.p.wake()
}

// sendReset tells the peer that the connection is no more. It is sent once: where it is lost the peer is not told
// before it sends something.
func (c *Conn) sendReset() {
	if c.peer == nil || c.machine.down {
		return
	}
	c.w.trace(Event{Kind: ResetSent, Process: c.p.opt.Name, Peer: c.peerName(), Conn: c.id})
	c.lastAt = max(c.lastAt, c.w.travel(c.machine, c.peer.machine, c.w.now+c.p.spent))
	c.w.schedule(c.lastAt, event{kind: doReset, conn: c.peer})
}

// resetBy takes a reset. Bytes that have come before it can still be read, as on Linux. What was not confirmed is
// dropped. n is 1 where the network sent it and not the peer.
func (c *Conn) resetBy(n int32) {
	if c.state == dead || c.resetIn || n == 0 && c.peer != nil && !c.peer.passes(c) {
		return
	}
	c.resetIn = true
	c.epoch++
	// Danger: what the socket had not taken still shows as such, until the process has been told. It is how a program knows
	// that a request has never been written whole.
	c.out = append(c.out[:0], c.out[c.head+c.sock:]...)
	c.head, c.sock, c.flight, c.arrived = 0, 0, 0, 0
	if c.state == orphan {
		c.state = dead
		return
	}
	if c.state == embryonic { // never accepted, and never will be
		c.state, c.listen = dead, nil
		return
	}
	c.notify()
}

// Reset has both ends of a connection told that it is no more, as a machine between them would.
func (w *Network) Reset(c *Conn) {
	for _, end := range [...]*Conn{c, c.peer} {
		if end != nil && end.state != dead {
			w.schedule(w.now, event{kind: doReset, conn: end, n: 1})
		}
	}
}

// Silence has nothing pass on a connection any more, in either direction, with both ends open.
func (w *Network) Blackhole(c *Conn) {
	c.silent = true
	if c.peer != nil {
		c.peer.silent = true
	}
}

// open gives the connection to the host. done is called after that.
func (c *Conn) open(done func(error)) {
	p := c.p
	c.told = true
	p.w.mix(p.real(), Opened, p, c.id, nil)
	p.w.trace(Event{At: p.real(), Kind: Opened, Process: p.opt.Name, Peer: c.peerName(), Conn: c.id})
	keep := p.host.Open(c)
	p.called()
	if !keep && c.fd {
		c.end(nil)
	}
	if done != nil {
		done(nil)
		p.called()
	}
	if c.fd && (c.unread() > 0 || c.finIn || c.resetIn) {
		c.notify()
	}
}

// serve hands over what has come.
func (c *Conn) serve() {
	c.queued = false
	if !c.fd || !c.told {
		return
	}
	p := c.p
	if c.resetIn && c.user() > 0 {
		c.end(errPipe) // writing goes first, and finds the end
		return
	}
	if c.writable && !c.resetIn {
		c.writable = false
		if c.finDue {
			c.end(errPipe)
			return
		}
		c.fillSocket()
		c.push()
	}
	rate := c.readRate
	if rate == 0 {
		rate = p.opt.ReadRate
	}
	if c.paused && c.endsShow && c.finIn && !c.resetIn {
		c.end(errReset) // what lies unread is lost
		return
	}
	if (rate < 0 || c.paused) && !c.resetIn {
		return
	}
	if n := c.unread(); n > 0 {
		n = min(n, readChunk)
		if rate > 0 && !c.resetIn {
			if c.readAt > p.w.now {
				c.readLater()
				return
			}
			n = min(n, max(int(rate*slowReadS), 1))
			c.readAt = p.w.now + max(slowReadS, float64(n)/rate)
		}
		data := c.in[c.inHead : c.inHead+n : c.inHead+n]
		c.inHead += n
		c.read += uint64(n)
		c.wroteAt = c.peer.writtenAt(c.read)
		p.w.mix(p.real(), Received, p, c.id, data)
		p.w.trace(Event{At: p.real(), Kind: Received, Process: p.opt.Name, Peer: c.peerName(), Conn: c.id, N: n, Data: data})
		c.tellWindow()
		p.host.Traffic(c, data)
		p.called()
		if !c.fd {
			return
		}
		if c.unread() > 0 {
			if rate > 0 {
				c.readLater()
			} else {
				c.notify()
			}
			return
		}
	}
	switch {
	case c.resetIn:
		c.end(errReset)
	case c.finIn:
		c.end(errEOF)
	}
}

// writtenAt returns when the byte before a place was written, and forgets those before it.
func (c *Conn) writtenAt(place uint64) float64 {
	i := 0
	for c.marks[i].end < place {
		i++
	}
	at := c.marks[i].at
	if c.marks[i].end == place {
		i++
	}
	c.marks = append(c.marks[:0], c.marks[i:]...)
	return at
}

// readLater has a slow reader come back.
func (c *Conn) readLater() {
	if !c.readOn {
		c.readOn = true
		c.w.schedule(c.readAt, event{kind: doRead, conn: c})
	}
}

func (c *Conn) readAgain() {
	c.readOn = false
	c.notify()
}

// tellWindow has a peer that waited for room go on.
func (c *Conn) tellWindow() {
	if c.starved {
		c.starved = false
		c.w.schedule(c.w.travel(c.machine, c.peer.machine, c.w.now+c.p.spent), event{kind: doPush, conn: c.peer})
	}
}

// opensWindow takes the peer's word that it has room again.
func (c *Conn) opensWindow() {
	if c.peer.passes(c) {
		c.push()
	} else {
		c.awaitResend()
	}
}

// shut sends a FIN behind what the socket holds.
func (c *Conn) shut() {
	if !c.finDue && !c.resetIn {
		c.finDue, c.endedAt, c.readThen = true, c.p.real(), c.read
		if c.user() == 0 {
			c.push()
		}
	}
}

// end tells the host of the connection's end, and closes it. What has not been sent is tried once and then dropped. Danger:
// bytes that nobody has read make it a reset, which destroys what the peer has not confirmed, on either side.
func (c *Conn) end(err error) {
	p := c.p
	p.drop(c)
	if c.endedAt == 0 {
		c.endedAt, c.readThen = p.real(), c.read
	}
	if c.told { // as gnet does, before the socket is closed
		p.w.mix(p.real(), Closed, p, c.id, nil)
		p.w.trace(Event{At: p.real(), Kind: Closed, Process: p.opt.Name, Peer: c.peerName(), Conn: c.id, Err: err})
		p.host.Closed(c, err)
		p.called()
	}
	if !c.finDue && !c.resetIn {
		c.fillSocket()
	}
	c.out = c.out[:c.head+c.sock]
	switch {
	case c.resetIn:
		c.state = dead
	case c.unread() > 0:
		c.sendReset()
		c.state = dead
	default:
		c.state, c.finDue = orphan, true
		c.push()
	}
}

func (c *Conn) peerName() string {
	if c.w.Trace == nil {
		return ""
	}
	if c.peer != nil && c.peer.p != nil {
		return c.peer.p.opt.Name
	}
	return c.remote.String()
}

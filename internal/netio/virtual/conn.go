package virtual

import (
	"net"
	"net/netip"
)

// connState is the state of one end of a connection.
type connState uint8

const (
	handshaking connState = iota // a SYN has been sent or received
	established                  // the handshake is over
	orphaned                     // closed by its process; what it has written is still sent
	discarded                    // the machine has no record of it; segments for it are answered with a reset
)

// Conn is one end of a connection: the netio.Conn that the process uses, and the socket behind it.
//
// Bytes that the process has written and the peer has not acknowledged are in outbound from outboundStart on, in this order:
// arrived bytes at the peer without an acknowledgement, inFlight bytes in segments under way, the rest of inSocket not sent
// yet, and last those that the socket has not accepted.
type Conn struct {
	network       *Network
	process       *Process // that this end belongs to
	machine       *Machine
	peer          *Conn // the other end; nil until the SYN has arrived there
	id            uint64
	dialed        bool
	local         netip.AddrPort
	remote        netip.AddrPort
	remoteAddr    net.Addr // remote as a net.Addr, built at the first use
	context       any
	state         connState
	listener      *listener // whose accept queue it is in; nil once accepted, and for a dialed connection
	hasDescriptor bool      // the process has it open
	index         int       // in Process.conns
	opened        bool      // Handler.Open has been called
	isReady       bool      // in Process.ready

	outbound             []byte
	outboundStart        int
	arrived              int
	inFlight             int
	inSocket             int     // accepted by the socket and not acknowledged: arrived, in flight or not sent yet
	lastArrivalAt        float64 // of the last segment or reset sent: later ones arrive no earlier
	epoch                uint32  // of the segments sent: those of an earlier epoch are lost and are ignored when they arrive
	segmentLost          bool    // nothing is sent until the retransmission
	retransmitSeconds    float64 // the last retransmission time-out
	retransmitScheduled  bool
	handshakeAckInFlight bool // the last packet of the handshake is under way
	writeClosed          bool // the process writes no more: a FIN is due or sent
	finSent              bool
	finDelivered         bool // the peer has it
	writable             bool // the socket has space again and the process has not been notified

	inbound         []byte // received, from inboundStart on not read yet
	inboundStart    int
	finReceived     bool
	resetReceived   bool
	receiveWindow   int
	readRate        float64 // bytes a second; 0: the process's rate; below 0: nothing is read
	nextReadAt      float64 // with a read rate: not before this time
	readScheduled   bool    // a readEvent is in the queue
	paused          bool    // by Process.PauseReading
	reportsClose    bool    // paused with netio.ReportClose
	windowUpdateDue bool    // the peer waits for space in this end's receive window
	blackholed      bool    // all packets of the connection are lost
	nextSendAt      float64 // with a limited rate: not before this time
	sendScheduled   bool    // a rateEvent is in the queue

	bytesWritten     uint64      // by the process so far
	bytesRead        uint64      // by the process so far
	writeMarks       []writeMark // of the bytes that the peer's process has not read yet
	peerWroteAt      float64     // when the last byte read was written
	closedAt         float64     // when the process closed the connection or its direction of it; 0: it has not
	bytesReadAtClose uint64      // bytesRead at closedAt

	receivedAt float64 // when bytes last arrived in the socket
}

// ID returns the connection's number, the same at both ends.
func (c *Conn) ID() uint64 { return c.id }

// Peer returns the other end; nil until the SYN has arrived there.
func (c *Conn) Peer() *Conn { return c.peer }

// PeerWrote returns when the peer wrote the last byte that this end's process has read; 0 before the first.
func (c *Conn) PeerWrote() float64 { return c.peerWroteAt }

// PeerEnded returns when the peer closed the connection or its direction of it; 0 if it has not.
func (c *Conn) PeerEnded() float64 {
	if c.peer == nil {
		return 0
	}
	return c.peer.closedAt
}

// PeerRead reports whether the peer had read all that this end has written when it closed the connection or its direction of
// it.
func (c *Conn) PeerRead() bool {
	return c.peer != nil && c.peer.closedAt > 0 && c.peer.bytesReadAtClose >= c.bytesWritten
}

// Process returns the process that this end belongs to.
func (c *Conn) Process() *Process { return c.process }

// Dialed reports whether this end dialed the other.
func (c *Conn) Dialed() bool { return c.dialed }

// LocalAddr implements netio.Conn.
func (c *Conn) LocalAddr() net.Addr { return tcpAddr(c.local) }

// unreadBytes returns how many received bytes the process has not read.
func (c *Conn) unreadBytes() int { return len(c.inbound) - c.inboundStart }

// unacceptedBytes returns how many written bytes the socket has not accepted.
func (c *Conn) unacceptedBytes() int { return len(c.outbound) - c.outboundStart - c.inSocket }

// unsentBytes returns how many bytes in the socket have not been sent.
func (c *Conn) unsentBytes() int { return c.inSocket - c.arrived - c.inFlight }

// OutboundBuffered implements netio.Conn.
func (c *Conn) OutboundBuffered() int { return c.unacceptedBytes() }

// RemoteAddr implements netio.Conn.
func (c *Conn) RemoteAddr() net.Addr {
	if c.remoteAddr == nil {
		c.remoteAddr = tcpAddr(c.remote)
	}
	return c.remoteAddr
}

// Context implements netio.Conn.
func (c *Conn) Context() any { return c.context }

// SetContext implements netio.Conn.
func (c *Conn) SetContext(context any) { c.context = context }

// peerName returns the peer's name for the trace; it is empty, and costs nothing, without one.
func (c *Conn) peerName() string {
	if c.network.Trace == nil {
		return ""
	}
	if c.peer != nil && c.peer.process != nil {
		return c.peer.process.options.Name
	}
	return c.remote.String()
}

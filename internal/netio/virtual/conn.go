package virtual

import (
	"net"
	"net/netip"
)

// connState is the state of one end of a connection.
type connState uint8

const (
	handshaking connState = iota // a SYN has been sent or received
	established                  // the handshake is complete
	orphaned                     // closed by its process; written bytes are still sent
	discarded                    // unknown to the machine, which answers segments for it with a reset
)

// Conn is one end of a connection: the netio.Conn that the process uses, and its simulated socket.
//
// outbound, from outboundStart on, contains the bytes that the process has written and the peer has not acknowledged, in this order:
// arrived bytes that the peer has received, inFlight bytes in segments in flight, the unsent rest of the inSocket bytes that the
// socket has accepted, and the bytes that it has not accepted.
type Conn struct {
	network       *Network
	process       *Process // owner of this end
	machine       *Machine
	peer          *Conn // the other end; nil at the dialing end until the SYN has arrived
	id            uint64
	dialed        bool
	local         netip.AddrPort
	remote        netip.AddrPort
	remoteAddr    net.Addr // remote as a net.Addr; created on first use
	context       any
	state         connState
	listener      *listener // to whose accept queue it belongs; nil once accepted, and for a dialed connection
	hasDescriptor bool      // it is open in the process
	index         int       // in Process.conns
	opened        bool      // Handler.Open has been called
	isReady       bool      // in Process.ready

	outbound             []byte
	outboundStart        int
	arrived              int
	inFlight             int
	inSocket             int     // accepted by the socket and not acknowledged: arrived, in flight or unsent
	lastArrivalAt        float64 // of the last segment or reset that was sent; later ones must not arrive earlier
	epoch                uint32  // of sent segments; those of an earlier epoch are lost, and their arrival is ignored
	segmentLost          bool    // a segment was lost; nothing is sent until the retransmission
	retransmitSeconds    float64 // last retransmission timeout
	retransmitScheduled  bool
	handshakeAckInFlight bool // the last packet of the handshake has not arrived yet
	writeClosed          bool // the process will not write any more: a FIN is due or sent
	finSent              bool
	finDelivered         bool // the peer has received the FIN
	writable             bool // the socket has space again and the process has not been notified

	inbound         []byte // received bytes; those from inboundStart on have not been read
	inboundStart    int
	finReceived     bool
	resetReceived   bool
	receiveWindow   int
	readRate        float64 // bytes per second; 0: the process's rate; below 0: nothing is read
	nextReadAt      float64 // earliest time of the next read; used with a read rate
	readScheduled   bool    // a readEvent is in the queue
	paused          bool    // by Process.PauseReading
	reportsClose    bool    // paused with netio.ReportClose
	windowUpdateDue bool    // the peer is waiting for space in this end's receive window
	blackholed      bool    // all its packets are dropped
	nextSendAt      float64 // earliest time of the next segment; used on a path with a limited rate
	sendScheduled   bool    // a rateEvent is in the queue

	bytesWritten     uint64      // by the process so far
	bytesRead        uint64      // by the process so far
	writeMarks       []writeMark // for the bytes that the peer's process has not read yet
	peerWroteAt      float64     // when the last byte read was written
	closedAt         float64     // when the process closed the connection or its write direction; 0: not yet
	bytesReadAtClose uint64      // bytesRead at closedAt

	receivedAt float64 // when bytes last arrived in the socket
}

// ID returns the connection's number, which is the same at both ends.
func (c *Conn) ID() uint64 { return c.id }

// Peer returns the other end. At the dialing end it is nil until the SYN has arrived.
func (c *Conn) Peer() *Conn { return c.peer }

// PeerWrote returns when the peer wrote the last byte that this end's process has read, or 0 if it has read none.
func (c *Conn) PeerWrote() float64 { return c.peerWroteAt }

// PeerEnded returns when the peer closed the connection or its write direction, or 0 if it has not.
func (c *Conn) PeerEnded() float64 {
	if c.peer == nil {
		return 0
	}
	return c.peer.closedAt
}

// PeerRead reports whether the peer has closed the connection or its write direction, and had read everything that this end has written
// by then.
func (c *Conn) PeerRead() bool {
	return c.peer != nil && c.peer.closedAt > 0 && c.peer.bytesReadAtClose >= c.bytesWritten
}

// Process returns the process that owns this end.
func (c *Conn) Process() *Process { return c.process }

// Dialed reports whether this end dialed the connection.
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

// peerName returns the peer's name for the trace. To save time it returns an empty name if there is no trace.
func (c *Conn) peerName() string {
	if c.network.Trace == nil {
		return ""
	}
	if c.peer != nil && c.peer.process != nil {
		return c.peer.process.options.Name
	}
	return c.remote.String()
}

package virtual

import (
	"net"
	"net/netip"
)

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

func (c *Conn) unreadBytes() int { return len(c.inbound) - c.inboundStart }

func (c *Conn) unacceptedBytes() int { return len(c.outbound) - c.outboundStart - c.inSocket }

func (c *Conn) unsentBytes() int { return c.inSocket - c.arrived - c.inFlight }

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

func (c *Conn) peerName() string {
	if c.network.Trace == nil {
		return ""
	}
	if c.peer != nil && c.peer.process != nil {
		return c.peer.process.options.Name
	}
	return c.remote.String()
}

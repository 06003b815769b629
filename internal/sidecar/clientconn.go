package sidecar

import (
	"errors"
	"net"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// The bounds of messages; whatever the protocol, a link holds no more.
const (
	MaxHeadBytes = 16 << 10
	MaxBodyBytes = 64 << 10
)

const (
	// MaxStreamBytes is how long a message may be that flows; it is never held whole.
	MaxStreamBytes = 1 << 30
	// ChunkBytes is how much of it is handled at once.
	ChunkBytes = 64 << 10
)

// ErrRequestTimeout is the end of a message that has not come whole in time.
var ErrRequestTimeout = errors.New("request did not arrive")

const (
	// mostAhead is what a client may send while its request is out; one that sends more is cut off.
	maxInputBytes = MaxHeadBytes + MaxBodyBytes
	// lingerS is how long a link that said its last is read on after the last bytes: closing it on bytes that
	// nobody has read would reset it, and the client could lose the answer. lingerMostS bounds it in all.
	lingerSeconds    = 1.0
	maxLingerSeconds = 4.0
	// arrivalS is how long a request may take to arrive once it has begun; a client that never ends one
	// would hold a descriptor for ever. The first on a link has arrived firstS after the link was opened.
	arrivalTimeoutSeconds = 2.5
	// leastRate bytes a second on the whole are what a longer body has to bring beyond that.
	minBytesPerSecond = 32 << 10
	// longestUploadS bounds it in all.
	maxUploadSeconds           = 120.0
	firstRequestTimeoutSeconds = 2.8
	// longestS bounds what a client may ask us to wait.
	maxRequestTimeoutSeconds = 3600.0
)

// ClientConn is a connection from the application, one request at a time, in what is the same in all protocols. The
// protocol's part is its Client, which holds it.
type ClientConn struct {
	sidecar         *Sidecar
	frontend        Frontend
	codec           ClientCodec
	conn            netio.Conn
	index           int // in Sidecar.clients.conns
	slot            *admission.Conn
	input           buffer.Buffer
	arrivals        arrivalTimes // of what is in buf and waits for the answer to what came before it
	request         *request     // the one that is out
	keepAlive       bool         // the client wants the link kept after it
	isLastWritten   bool         // the last answer is written
	isWriteClosed   bool         // and no byte is left to send
	isOverLimit     bool         // the link is beyond the limit on descriptors
	lingerTimer     *timer
	arrivalTimer    *timer  // of the request that is on its way in
	arrivalDeadline float64 // when the time for it began to count
	stalledBefore   float64 // how long the loop had stood still in all by then, in seconds
	openedAt        float64
	hasAnswered     bool    // it has brought a request
	lastDataAt      float64 // when bytes last came after it was shut

	unreadSince  float64 // since when an answer waits for the client
	lastReadAt   float64 // when the client last took a byte of it
	unreadBytes  int     // what it has not taken
	requestBytes int     // bytes of the request that is out
	isStreamed   bool    // the answer that waits came in pieces
	isStreamLast bool    // and is the last on the link
	isPaused     bool    // what comes stays in the socket
}

// Base is what a protocol's part has from the ClientConn that it holds.
func (c *ClientConn) Base() *ClientConn { return c }

func (c *ClientConn) onOpen(netio.Conn) {}

// SetKeepAlive says whether the client wants the link kept after the message that has been read.
func (c *ClientConn) SetKeepAlive(keep bool) { c.keepAlive = keep }

// CloseUnanswered closes a link whose client speaks another protocol: no answer that it could read is to be had here.
func (c *ClientConn) CloseUnanswered(reason string) {
	c.stopArrivalTimer()
	c.sidecar.counters.Malformed++
	c.sidecar.warnLimited(reason)
	c.sidecar.closeConn(c.conn)
}

// Sidecar returns whose link it is.
func (c *ClientConn) Sidecar() *Sidecar { return c.sidecar }

// RemoteAddr returns the client's address.
func (c *ClientConn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// finish ends the link after its last answer, which the socket has taken: no more is sent, and what comes is read and
// dropped until the client has closed or the time is over.
func (c *ClientConn) startLinger() {
	if c.conn == nil || c.isWriteClosed {
		return
	}
	now := c.sidecar.now()
	c.isWriteClosed = true
	c.sidecar.clients.admission.SetState(now, c.slot, admission.StateClosing)
	c.sidecar.clients.admission.SetBufferedBytes(c.slot, 0)
	c.lingerTimer = c.sidecar.timers.schedule(now+lingerSeconds, func() { c.closeAfterLinger(now + maxLingerSeconds) })
	c.sidecar.net.CloseWrite(c.conn)
}

// leave closes a link that lingers once its client has been silent for a while, at the latest at the given time.
func (c *ClientConn) closeAfterLinger(latest float64) {
	if at := min(c.lastDataAt+lingerSeconds, latest); at > c.sidecar.now() {
		c.lingerTimer = c.sidecar.timers.schedule(at, func() { c.closeAfterLinger(latest) })
		return
	}
	c.sidecar.closeConn(c.conn)
}

// idle tells whether nothing of a request has come and none is out.
func (c *ClientConn) isIdle() bool {
	_, begun := c.codec.PartialRequest()
	return c.request == nil && !c.isLastWritten && c.unreadBytes == 0 && c.input.Len() == 0 && !begun
}

// ended takes the client's departure.
func (c *ClientConn) onClose(error) {
	c.conn = nil
	c.sidecar.timers.stop(c.lingerTimer)
	c.stopArrivalTimer()
	c.sidecar.clients.remove(c)
	if r := c.request; r != nil {
		c.request = nil
		switch {
		case r.stream != nil:
			r.stream.finish(abandoned)
		case !r.isOneWay:
			c.sidecar.abandonRequest(r)
		}
	}
}

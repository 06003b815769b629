package sidecar

import (
	"errors"
	"net"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// Limits on the parts of a message that are buffered, in bytes. They apply to all protocols.
const (
	MaxHeadBytes = 16 << 10
	MaxBodyBytes = 64 << 10
)

const (
	// MaxStreamBytes bounds a message that is forwarded in parts and so never buffered completely.
	MaxStreamBytes = 1 << 30
	// ChunkBytes is how much of a streamed message is handled at a time.
	ChunkBytes = 64 << 10
)

// ErrRequestTimeout is passed to RejectMalformed if a message has not arrived completely in time.
var ErrRequestTimeout = errors.New("request did not arrive")

const (
	// maxInputBytes bounds what a client may send while its request is open; if it sends more, its connection is closed.
	maxInputBytes = MaxHeadBytes + MaxBodyBytes
	// lingerSeconds is how long a connection is still read after the last response or, if later, the last received bytes. Closing it with
	// unread bytes would reset it, and the client could lose the response. maxLingerSeconds bounds the total time.
	lingerSeconds    = 1.0
	maxLingerSeconds = 4.0
	// arrivalTimeoutSeconds is how long a request may take to arrive after its first byte; otherwise a client that never completes one
	// would hold a descriptor forever. The first request must also arrive within firstRequestTimeoutSeconds of the connection's opening.
	arrivalTimeoutSeconds = 2.5
	// minBytesPerSecond is the minimum average rate of a longer body: each byte that has arrived extends the timeout accordingly.
	minBytesPerSecond = 32 << 10
	// maxUploadSeconds bounds the time for uploading a body.
	maxUploadSeconds           = 120.0
	firstRequestTimeoutSeconds = 2.8
	// maxRequestTimeoutSeconds bounds the timeout that a client sets for its request.
	maxRequestTimeoutSeconds = 3600.0
)

// ClientConn is the protocol-independent part of a client connection. At most one request is open at a time. The protocol's ClientCodec
// embeds it.
type ClientConn struct {
	sidecar         *Sidecar
	frontend        Frontend
	codec           ClientCodec
	conn            netio.Conn
	index           int // in clientPool.conns
	slot            *admission.Conn
	input           buffer.Buffer
	arrivals        arrivalTimes // of pipelined bytes in input
	request         *request     // the open request, or nil
	keepAlive       bool         // the client wants the connection kept after the response
	isLastWritten   bool         // the last response is written
	isWriteClosed   bool         // the connection is closed for writing
	isOverLimit     bool         // accepted beyond the admission limit
	lingerTimer     *timer
	arrivalTimer    *timer  // timeout of the request that is arriving
	arrivalDeadline float64 // of the request that is arriving, without the extension for its body
	stalledBefore   float64 // fitness.stalledSeconds when arrivalDeadline was set
	openedAt        float64
	hasAnswered     bool    // a response was written
	lastDataAt      float64 // when data last arrived after the last response

	unreadSince  float64 // since when a response is not completely read by the client
	lastReadAt   float64 // when the client last read part of it
	unreadBytes  int     // bytes of the response that the client has not read
	requestBytes int     // buffered for the open request
	isStreamed   bool    // the response is forwarded in parts
	isStreamLast bool    // the streamed response is the last on the connection
	isPaused     bool    // received data is left in the socket
}

// Base implements ClientCodec for the protocol's part.
func (c *ClientConn) Base() *ClientConn { return c }

func (c *ClientConn) onOpen(netio.Conn) {}

// SetKeepAlive sets whether the client wants the connection kept open after the message that was read.
func (c *ClientConn) SetKeepAlive(keep bool) { c.keepAlive = keep }

// CloseUnanswered closes a connection whose client speaks another protocol and could not read a response.
func (c *ClientConn) CloseUnanswered(reason string) {
	c.stopArrivalTimer()
	c.sidecar.counters.Malformed++
	c.sidecar.warnLimited(reason)
	c.sidecar.closeConn(c.conn)
}

// Sidecar returns the sidecar that accepted the connection.
func (c *ClientConn) Sidecar() *Sidecar { return c.sidecar }

// RemoteAddr returns the client's address.
func (c *ClientConn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// startLinger closes the connection for writing after the last response. Further input is read and dropped until the client closes or the
// linger time is over.
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

// closeAfterLinger closes a lingering connection once nothing has arrived for lingerSeconds, or at the given latest time.
func (c *ClientConn) closeAfterLinger(latest float64) {
	if at := min(c.lastDataAt+lingerSeconds, latest); at > c.sidecar.now() {
		c.lingerTimer = c.sidecar.timers.schedule(at, func() { c.closeAfterLinger(latest) })
		return
	}
	c.sidecar.closeConn(c.conn)
}

// isIdle reports whether no request is open or partly received and no response is unread.
func (c *ClientConn) isIdle() bool {
	_, begun := c.codec.PartialRequest()
	return c.request == nil && !c.isLastWritten && c.unreadBytes == 0 && c.input.Len() == 0 && !begun
}

// onClose implements connHandler: it ends the open request, unless that is one-way.
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

package sidecar

import (
	"errors"
	"net"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// Bounds of messages, in bytes. Whatever the protocol, a connection buffers no more.
const (
	MaxHeadBytes = 16 << 10
	MaxBodyBytes = 64 << 10
)

const (
	// MaxStreamBytes bounds a message that is forwarded in parts; it is never buffered completely.
	MaxStreamBytes = 1 << 30
	// ChunkBytes is how much of it is handled at a time.
	ChunkBytes = 64 << 10
)

// ErrRequestTimeout is the cause of RejectMalformed if a message has not arrived completely in time.
var ErrRequestTimeout = errors.New("request did not arrive")

const (
	// maxInputBytes is what a client may send while its request is open; one that sends more is closed.
	maxInputBytes = MaxHeadBytes + MaxBodyBytes
	// lingerSeconds is how long a connection is read after its last response and the last received bytes: closing it with unread bytes
	// resets it, and the client could lose the response. maxLingerSeconds bounds it in all.
	lingerSeconds    = 1.0
	maxLingerSeconds = 4.0
	// arrivalTimeoutSeconds is how long a request may take to arrive once its first byte has; a client that never ends one would use a
	// descriptor for ever. The first on a connection has arrived firstRequestTimeoutSeconds after the connection was opened.
	arrivalTimeoutSeconds = 2.5
	// minBytesPerSecond is the average rate that extends these times for a longer body.
	minBytesPerSecond = 32 << 10
	// maxUploadSeconds bounds them in all.
	maxUploadSeconds           = 120.0
	firstRequestTimeoutSeconds = 2.8
	// maxRequestTimeoutSeconds bounds a client's own deadline.
	maxRequestTimeoutSeconds = 3600.0
)

// ClientConn is the part of a client connection that all protocols share. It has one request open at a time. The protocol's part is its
// ClientCodec, which embeds it.
type ClientConn struct {
	sidecar         *Sidecar
	frontend        Frontend
	codec           ClientCodec
	conn            netio.Conn
	index           int // in clientPool.conns
	slot            *admission.Conn
	input           buffer.Buffer
	arrivals        arrivalTimes // of the bytes in input that wait for the response to what came before
	request         *request     // that is open; nil: none
	keepAlive       bool         // the client wants the connection kept after the response
	isLastWritten   bool         // the last response is written
	isWriteClosed   bool         // and sent; the connection is closed for writing
	isOverLimit     bool         // it was accepted beyond the admission limit
	lingerTimer     *timer
	arrivalTimer    *timer  // of the request that is arriving
	arrivalDeadline float64 // of the request that is arriving, before what its body adds
	stalledBefore   float64 // fitness.stalledSeconds when arrivalDeadline was set
	openedAt        float64
	hasAnswered     bool    // a response was written
	lastDataAt      float64 // when data last arrived after the last response

	unreadSince  float64 // since when a response waits for the client to read it
	lastReadAt   float64 // when the client last read of it
	unreadBytes  int     // of the response, not read by the client
	requestBytes int     // that are buffered for the request that is open
	isStreamed   bool    // the response that waits is forwarded in parts
	isStreamLast bool    // and is the last on the connection
	isPaused     bool    // received data is left in the socket
}

// Base implements ClientCodec for the protocol's part.
func (c *ClientConn) Base() *ClientConn { return c }

func (c *ClientConn) onOpen(netio.Conn) {}

// SetKeepAlive sets whether the client wants the connection kept after the message that was read.
func (c *ClientConn) SetKeepAlive(keep bool) { c.keepAlive = keep }

// CloseUnanswered closes a connection whose client speaks another protocol and could read no response.
func (c *ClientConn) CloseUnanswered(reason string) {
	c.stopArrivalTimer()
	c.sidecar.counters.Malformed++
	c.sidecar.warnLimited(reason)
	c.sidecar.closeConn(c.conn)
}

// Sidecar returns the sidecar that has accepted the connection.
func (c *ClientConn) Sidecar() *Sidecar { return c.sidecar }

// RemoteAddr returns the client's address.
func (c *ClientConn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// startLinger closes the connection for writing after its last response was sent. What arrives is read and dropped until the client closes
// or the time is over.
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

// closeAfterLinger closes a lingering connection once nothing has arrived for lingerSeconds, at the latest at the given time.
func (c *ClientConn) closeAfterLinger(latest float64) {
	if at := min(c.lastDataAt+lingerSeconds, latest); at > c.sidecar.now() {
		c.lingerTimer = c.sidecar.timers.schedule(at, func() { c.closeAfterLinger(latest) })
		return
	}
	c.sidecar.closeConn(c.conn)
}

// isIdle reports whether no request is open and no byte of one has arrived.
func (c *ClientConn) isIdle() bool {
	_, begun := c.codec.PartialRequest()
	return c.request == nil && !c.isLastWritten && c.unreadBytes == 0 && c.input.Len() == 0 && !begun
}

// onClose implements connHandler: it ends the request that is open, unless that is one-way.
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

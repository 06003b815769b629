package proxy

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// maxResponseHeadBytes bounds the head of a response. Reading ahead may exceed it by the read buffer.
	maxResponseHeadBytes = 64 << 10
	// maxRememberedIDs bounds the request IDs that a connection remembers.
	maxRememberedIDs = 8
)

// errLongResponseHead is returned if the head of a response is longer than maxResponseHeadBytes. Danger: bytes that form no response may come without a
// line end, and would be read into memory until the request's deadline.
var errLongResponseHead = errors.New("the head of a response is too long")

// errNewConnRejected is returned if the health check on a new connection to a server fails.
var errNewConnRejected = errors.New("health check on the new connection failed")

// backendConn is a connection to a server. One exchange uses it at a time.
type backendConn struct {
	net.Conn
	reader     *bufio.Reader     // of source
	source     *io.LimitedReader // limits the reading of a response's head; bodies have bounds of their own
	expiresAt  time.Time         // from then on the server may close the connection, so it is not reused
	tainted    bool              // a response arrived that belongs to another request: the connection is not reused
	hasCarried bool              // it has carried an exchange, be it a health check
	requestIDs []string          // of the last exchanges, maxRememberedIDs at most
}

// newBackendConn returns a connection that has carried nothing.
func newBackendConn(conn net.Conn) *backendConn {
	source := &io.LimitedReader{R: conn, N: math.MaxInt64}
	return &backendConn{Conn: conn, reader: bufio.NewReaderSize(source, readBufferSize), source: source}
}

// readHead reads the head of the response to a request with this method.
func (c *backendConn) readHead(method string) (*http.Response, error) {
	c.source.N = maxResponseHeadBytes
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil && c.source.N <= 0 {
		return nil, errLongResponseHead
	}
	c.source.N = math.MaxInt64
	return response, err
}

// recordCarried records an exchange with the ID of its request, or "" if that has none.
func (c *backendConn) recordCarried(id string) {
	c.hasCarried = true
	if id == "" {
		return
	}
	if len(c.requestIDs) == maxRememberedIDs {
		c.requestIDs = slices.Delete(c.requestIDs, 0, 1)
	}
	c.requestIDs = append(c.requestIDs, id)
}

// hasCarriedID reports whether one of the last exchanges was that of a request with this ID.
func (c *backendConn) hasCarriedID(id string) bool {
	return id != "" && slices.Contains(c.requestIDs, id)
}

// isReusable reports whether an idle connection is open, not expired, and has nothing to read. Danger: bytes that have arrived while it was
// idle belong to an earlier request, and would be mistaken for the response to the next one.
func (c *backendConn) isReusable() bool {
	if c.reader.Buffered() > 0 || !time.Now().Before(c.expiresAt) {
		return false
	}
	withRaw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, failed := peekSocket(fd)
		isQuiet = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}

// peekSocket looks for an unread byte in a socket without blocking or consuming it. It returns 1 if there is one, 0 at the end of the stream,
// and EAGAIN if nothing has arrived.
func peekSocket(fd uintptr) (received int, err error) {
	var first [1]byte
	received, _, err = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return received, err
}

// discard closes a connection that is not reused. The error is ignored: nothing depends on the connection any more.
func (c *backendConn) discard() { _ = c.Close() }

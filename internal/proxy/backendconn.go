package proxy

import (
	"bufio"
	"errors"
	"io"
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
	reader     *bufio.Reader // of source
	source     *boundedReader
	expiresAt  time.Time // from then on the server may close the connection, so it is not reused
	tainted    bool      // a response arrived that belongs to another request: the connection is not reused
	hasCarried bool      // it has carried an exchange, be it a health check
	requestIDs []string  // of the last exchanges, maxRememberedIDs at most
}

// newBackendConn returns a connection that has carried nothing.
func newBackendConn(conn net.Conn) *backendConn {
	source := &boundedReader{reader: conn}
	return &backendConn{Conn: conn, reader: bufio.NewReaderSize(source, readBufferSize), source: source}
}

// boundedReader bounds how much is read while the head of a response is being read. Bodies have bounds of their own.
type boundedReader struct {
	reader    io.Reader
	isBounded bool
	remaining int // bytes, if isBounded is set
}

// Read implements io.Reader. It returns errLongResponseHead once nothing remains.
func (r *boundedReader) Read(data []byte) (int, error) {
	if !r.isBounded {
		return r.reader.Read(data)
	}
	if r.remaining <= 0 {
		return 0, errLongResponseHead
	}
	n, err := r.reader.Read(data)
	r.remaining -= n
	return n, err
}

// readHead reads the head of the response to a request with this method.
func (c *backendConn) readHead(method string) (*http.Response, error) {
	c.source.isBounded, c.source.remaining = true, maxResponseHeadBytes
	defer func() { c.source.isBounded = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
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

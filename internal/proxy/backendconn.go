package proxy

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// readBufferSize is the size of a connection's read buffer, in bytes.
const readBufferSize = 4 << 10

// errNewConnRejected is returned where a server did not answer a health check on a new connection.
var errNewConnRejected = errors.New("the server did not answer on a new connection")

// backendConn is a connection to a server. One exchange uses it at a time.
type backendConn struct {
	net.Conn
	reader        *bufio.Reader
	expiresAt     time.Time // from then on the server may close it, and it is not used again
	tainted       bool      // a response arrived that belongs to no request of it: it is not used again
	hasCarried    bool      // it has carried an exchange
	lastRequestID string    // of the last exchange, "" where that had none
}

// isReusable reports whether an idle connection is open, not expired, and has nothing to read. Danger: bytes that have arrived while it was
// idle belong to an earlier request, and would be taken for the response to the next one.
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
		var peek [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}

// discard closes a connection that is not used again. An error would change nothing.
func (c *backendConn) discard() { _ = c.Close() }

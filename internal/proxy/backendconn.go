package proxy

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// idleDefault is how long a connection rests where the server does not say; idleMargin is what is taken off what it says.
	defaultKeepAlive = 6 * time.Second
	keepAliveMargin  = time.Second
	// restMost bounds the connections at rest to one server.
	maxIdlePerBackend = 8
	// surplusMost bounds the answers of other requests that are skipped on a connection.
	maxSurplusResponses = 3
	readBufferSize      = 4 << 10
)

var (
	errTooManySurplus = errors.New("too many answers that belong to other requests")
	// errUnnamed says that an answer on a connection that has served before names no request. Danger: it may be a second answer to an
	// earlier one, and its word that the request was not run does not hold for this one.
	errUnidentifiedRejection = errors.New("a refusal that names no request, on a connection that has served others")
)

// errNotTaken says that a server did not answer on a new connection.
var errNewConnRejected = errors.New("the server does not answer on a new connection")

// backendConn is a connection to a server.
type backendConn struct {
	net.Conn
	reader        *bufio.Reader
	expiresAt     time.Time
	tainted       bool   // it has carried an answer that belongs to no request
	hasCarried    bool   // it has carried an exchange before
	lastRequestID string // the id of the request before, "" where that had none
}

// quiet tells whether a connection at rest is open and has nothing to read. Danger: bytes that came meanwhile belong to no
// request of ours.
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
		isQuiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

package sockets

import (
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// fdConn is a socket without an event loop that reads it.
type fdConn struct {
	gnet.Conn
	fd, far int
}

func (c *fdConn) Fd() int { return c.fd }

func newFDConn(t *testing.T) *fdConn {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	return &fdConn{fd: fds[0], far: fds[1]}
}

// What the event loop has not read yet shows: bytes, or the end.
func TestQuiet(t *testing.T) {
	n, still, noisy, ended := &EventLoop{}, newFDConn(t), newFDConn(t), newFDConn(t)
	_, err := unix.Write(noisy.far, []byte("HTTP/1.1 200 OK\r\n"))
	require.NoError(t, err)
	require.NoError(t, unix.Close(ended.far))
	assert.True(t, n.NothingToRead(still))
	assert.False(t, n.NothingToRead(noisy))
	assert.False(t, n.NothingToRead(ended))
}

package sockets

import (
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// fdConn is one end of a socket pair that is not read by an event loop.
type fdConn struct {
	gnet.Conn
	fd, peer int
}

func (c *fdConn) Fd() int { return c.fd }

func newFDConn(t *testing.T) *fdConn {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	return &fdConn{fd: fds[0], peer: fds[1]}
}

// NothingToRead detects bytes, and the end of the stream, that the event loop has not read yet.
func TestNothingToReadSeesBytesAndEnd(t *testing.T) {
	loop, silent, withBytes, ended := &EventLoop{}, newFDConn(t), newFDConn(t), newFDConn(t)
	_, err := unix.Write(withBytes.peer, []byte("HTTP/1.1 200 OK\r\n"))
	require.NoError(t, err)
	require.NoError(t, unix.Close(ended.peer))
	assert.True(t, loop.NothingToRead(silent))
	assert.False(t, loop.NothingToRead(withBytes))
	assert.False(t, loop.NothingToRead(ended))
}

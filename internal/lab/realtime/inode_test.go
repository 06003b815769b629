package realtime

import (
	"net"
	"net/netip"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A connection's ends are found, each as itself, and belong to the process that holds them.
func TestInodeOf(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	own, far := dialed.LocalAddr().(*net.TCPAddr).AddrPort(), dialed.RemoteAddr().(*net.TCPAddr).AddrPort()
	a, err := inodeOf(own, far)
	require.NoError(t, err)
	b, err := inodeOf(far, own)
	require.NoError(t, err)
	assert.NotEmpty(t, a)
	assert.NotEmpty(t, b)
	assert.NotEqual(t, a, b)
	assert.True(t, holds(int64(os.Getpid()), a))
	assert.True(t, holds(int64(os.Getpid()), b))
	assert.False(t, holds(1, a))
	elsewhere, err := inodeOf(own, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), far.Port()))
	require.NoError(t, err)
	assert.Empty(t, elsewhere, "the same ports, another address")
}

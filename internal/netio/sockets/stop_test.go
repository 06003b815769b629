package sockets

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/netio"
)

// respondingHandler answers any bytes.
type respondingHandler struct{ opened int }

func (h *respondingHandler) Start()                         {}
func (h *respondingHandler) Closed(netio.Conn, error)       {}
func (h *respondingHandler) Alarm()                         {}
func (h *respondingHandler) Traffic(c netio.Conn, _ []byte) { _, _ = c.Write([]byte("answer")) }
func (h *respondingHandler) Open(netio.Conn) bool {
	h.opened++
	return true
}

// A connection that the kernel has accepted and the event loop has not, with a request in its socket, is open by the time that
// StopListening is done. Danger: a program without other connections stops then, and the request would be reset.
func TestStopListeningOpensAcceptedConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	n, h := New(slog.New(slog.DiscardHandler), address), &respondingHandler{}
	ended, opened, clients := make(chan error, 1), make(chan int, 1), make(chan net.Conn, 1)
	n.Post(func() { // on the loop, which accepts nobody meanwhile
		c, err := net.Dial("tcp4", address)
		if err == nil {
			_, _ = c.Write([]byte("request"))
		}
		clients <- c
		n.StopListening(func() { opened <- h.opened })
	})
	go func() { ended <- n.Run(h) }()
	c := <-clients
	require.NotNil(t, c)
	defer c.Close()
	assert.Equal(t, 1, <-opened)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	text, err := io.ReadAll(io.LimitReader(c, int64(len("answer"))))
	require.NoError(t, err)
	assert.Equal(t, "answer", string(text))
	n.Post(n.Stop)
	assert.NoError(t, <-ended)
}

package sockets

import (
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/netio"
)

// respondingHandler responds to any received bytes with "answer".
type respondingHandler struct{ opened int }

func (h *respondingHandler) Start()                         {}
func (h *respondingHandler) Closed(netio.Conn, error)       {}
func (h *respondingHandler) Alarm()                         {}
func (h *respondingHandler) Traffic(c netio.Conn, _ []byte) { _, _ = c.Write([]byte("answer")) }
func (h *respondingHandler) Open(netio.Conn) bool {
	h.opened++
	return true
}

// Handler.Open has been called for a connection that the kernel has accepted, with a request in its socket, by the time that
// StopListening is done. Otherwise a program without open connections would stop then, and the connection would be reset.
func TestStopListeningOpensAcceptedConnections(t *testing.T) {
	address := ownAddress(t)
	loop, h := New(slog.New(slog.DiscardHandler), address), &respondingHandler{}
	ended, opened, clients := make(chan error, 1), make(chan int, 1), make(chan net.Conn, 1)
	loop.Post(func() { // this blocks the loop, so that it does not accept the connection yet
		c, err := net.Dial("tcp4", address)
		if err == nil {
			_, _ = c.Write([]byte("request"))
		}
		clients <- c
		loop.StopListening(func() { opened <- h.opened })
	})
	go func() { ended <- loop.Run(h) }()
	c := <-clients
	require.NotNil(t, c)
	defer c.Close()
	assert.Equal(t, 1, <-opened)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	text, err := io.ReadAll(io.LimitReader(c, int64(len("answer"))))
	require.NoError(t, err)
	assert.Equal(t, "answer", string(text))
	loop.Post(loop.Stop)
	assert.NoError(t, <-ended)
}

// Clients connect in a loop while the listener is being closed. A connection is established at the client before the last packet of the
// handshake has reached the server. If the listener dropped that packet, the connection and its request would be reset.
func TestStopListeningAnswersAllThatHaveConnected(t *testing.T) {
	const rounds, parallel, clients = 8, 8, 16
	for range rounds {
		var running sync.WaitGroup
		for range parallel {
			running.Go(func() {
				served, unanswered := stopUnderLoad(t, clients)
				assert.Positive(t, served)
				assert.Zero(t, unanswered, "of %d", served)
			})
		}
		running.Wait()
	}
}

// addressCount is the number of addresses that ownAddress has returned.
var addressCount atomic.Uint32

// ownAddress returns an address with port that nothing else uses: each call returns another IP address. A free port of 127.0.0.1 would not do:
// another listener or client may take it before it is used, and SO_REUSEPORT lets two listeners share it, so that clients would reach the wrong one.
func ownAddress(t *testing.T) string {
	process, call := os.Getpid(), addressCount.Add(1)
	require.Less(t, call, uint32(250))
	ip := net.IPv4(127, byte(1+process/200%200), byte(1+process%200), byte(call))
	l, err := net.Listen("tcp4", net.JoinHostPort(ip.String(), "0"))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// stopUnderLoad runs clients that connect one connection after another to an event loop, and calls StopListening meanwhile. The clients stop once they are
// refused. It returns how many connections were answered, and how many were established but not answered.
func stopUnderLoad(t *testing.T, clients int) (served, unanswered int) {
	address := ownAddress(t)
	loop, ended := New(slog.New(slog.DiscardHandler), address), make(chan error, 1)
	go func() { ended <- loop.Run(&respondingHandler{}) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp4", address)
		return err == nil && c.Close() == nil
	}, 20*time.Second, time.Millisecond)
	type tally struct{ served, unanswered int }
	tallies, firstServed := make(chan tally, clients), make(chan struct{})
	var once sync.Once
	for range clients {
		go func() {
			var sum tally
			defer func() { tallies <- sum }()
			for {
				c, err := net.DialTimeout("tcp4", address, 20*time.Second)
				if err != nil {
					return // refused, since the listener is closed
				}
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				_, _ = c.Write([]byte("request"))
				text, _ := io.ReadAll(io.LimitReader(c, int64(len("answer"))))
				_ = c.Close()
				if string(text) == "answer" {
					sum.served++
					once.Do(func() { close(firstServed) })
				} else {
					sum.unanswered++
				}
			}
		}()
	}
	select {
	case <-firstServed: // waited for separately, since on a busy machine it may take longer than the sleep below
	case <-time.After(20 * time.Second):
		require.Fail(t, "no client was served")
	}
	time.Sleep(5 * time.Millisecond)
	stopped := make(chan struct{})
	loop.Post(func() { loop.StopListening(func() { close(stopped) }) })
	<-stopped
	for range clients {
		sum := <-tallies
		served, unanswered = served+sum.served, unanswered+sum.unanswered
	}
	loop.Post(loop.Stop)
	assert.NoError(t, <-ended)
	return served, unanswered
}

package main

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// departures are the ways in which a client disconnects. A client that only shuts down its sending side can't be told from one that has
// closed until something is written to it, so it is treated as gone: the protocol says that both end the wait, and a sidecar gives up
// the attempt.
var departures = map[string]func(c *client){
	"closes":           func(c *client) { c.Close() },
	"resets":           func(c *client) { reset(c.TCPConn) },
	"ends its sending": func(c *client) { _ = c.CloseWrite() },
	"sends much, closes": func(c *client) { // more than is read ahead: the end of the stream is behind bytes that stay in the socket
		c.send(strings.Repeat(text("write", newID(), 20*time.Second, strings.Repeat("x", 1000)), 30))
		c.Close()
	},
}

// No attempt starts for a client that has disconnected, wherever its request waits: once the cause of the wait is over, the next
// client's request is sent and that of the disconnected client is not. TestClientGoes covers a client whose attempt is in flight.
func TestGoneClientIsNotServed(t *testing.T) {
	for _, c := range []struct {
		name string
		// begin makes a client's request wait. It returns the backend for it and a function that ends the cause of the wait.
		begin    func(t *testing.T, departs func(w *testSidecar, conn *client)) (w *testSidecar, s *backend, id string)
		attempts int // expected number of attempts
	}{
		{"no server is listed", goneWhileUnlisted, 0},
		{"its connection is being established", goneWhileConnecting, 0},
		{"between two attempts", goneBetweenAttempts, 1},
		{"it has not been read yet", goneBeforeRead, 0},
	} {
		for how, depart := range departures {
			t.Run(c.name+", client "+how, func(t *testing.T) {
				w, s, id := c.begin(t, func(w *testSidecar, conn *client) { depart(conn) })
				next, other := newID(), w.dial(0)
				other.send(text("read", next, 15*time.Second, "")) // of another class, which the rejection does not affect
				a, err := other.answer()
				require.NoError(t, err)
				assert.Equal(t, 200, a.status)
				assert.Len(t, s.of(next), 1)
				w.eventually("no request is open", func() bool { return w.counter("open") == 0 })
				assert.Len(t, s.of(id), c.attempts, "no attempt for a client that has disconnected")
				assert.EqualValues(t, 1, w.counter("abandoned"))
			})
		}
	}
}

// awaitAbandoned waits until the program has noticed that a client has disconnected. If that takes long, the test's other checks decide.
func awaitAbandoned(w *testSidecar) {
	within(2*time.Second, func() bool { return w.counter("abandoned") == 1 })
}

func goneWhileUnlisted(t *testing.T, departs func(*testSidecar, *client)) (*testSidecar, *backend, string) {
	s, listed := newBackend(t, "s-00000001", sends(message(200, "sound"))), make(chan struct{})
	w := newCrossing(t, func(w *testSidecar) {
		w.setClassField("objectiveS", 40) // a request is held for 4.8 s before it is checked again
		w.setClassField("giveUpS", 40)
		w.discovery.sendVersionOnce(8, listed, func() string { return listOf(t, 8, s.endpoint()) })
	})
	id, conn := newID(), w.dial(0)
	conn.send(text("write", id, 35*time.Second, "body"))
	w.eventually("the request is open", func() bool { return w.counter("open") == 1 })
	departs(w, conn)
	awaitAbandoned(w)
	close(listed)
	w.eventually("the list", func() bool { return w.counter("lists") == 1 })
	w.eventually("the request has ended", func() bool { return w.counter("open") == 0 })
	return w, s, id
}

func goneWhileConnecting(t *testing.T, departs func(*testSidecar, *client)) (*testSidecar, *backend, string) {
	s := newLateBackend(t, "s-00000001", sends(message(200, "sound")))
	w := newCrossing(t, nil, s)
	id, conn := newID(), w.dial(0)
	conn.send(text("write", id, 8*time.Second, "body"))
	w.eventually("the dial", func() bool { return s.isIn(t, synSent) })
	departs(w, conn)
	awaitAbandoned(w)
	s.comeUp(t)
	return w, s, id
}

// goneBetweenAttempts has the first attempt rejected, which leads to a pause before the next.
func goneBetweenAttempts(t *testing.T, departs func(*testSidecar, *client)) (*testSidecar, *backend, string) {
	turnedAway := make(chan struct{})
	refuse := func(c *net.TCPConn, _ attempt) bool {
		close(turnedAway)
		return sends("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")(c, attempt{})
	}
	s := newBackend(t, "s-00000001", onceThen(refuse, sends(message(200, "sound"))))
	w := newCrossing(t, func(w *testSidecar) {
		w.setClassField("objectiveS", 40) // it is checked again after 4.8 s
		w.setClassField("giveUpS", 40)
	}, s)
	id, conn := newID(), w.dial(0)
	conn.send(text("write", id, 35*time.Second, "body"))
	<-turnedAway
	w.eventually("the first attempt was rejected", func() bool { return w.countOfOutcome("execution_ends", "rejected") == 1 })
	departs(w, conn)
	awaitAbandoned(w)
	w.eventually("the request has ended", func() bool { return w.counter("open") == 0 })
	return w, s, id
}

// goneBeforeRead has both the request and the end of the stream in the socket when the program first reads it.
func goneBeforeRead(t *testing.T, departs func(*testSidecar, *client)) (*testSidecar, *backend, string) {
	s := newBackend(t, "s-00000001", sends(message(200, "sound")))
	w := newCrossing(t, nil, s)
	id, conn := newID(), w.dial(0)
	conn.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := conn.answer()
	require.NoError(t, err)
	w.freeze()
	conn.send(text("write", id, 8*time.Second, "body"))
	departs(w, conn)
	time.Sleep(200 * time.Millisecond) // from 0.1 s after the disconnect on no attempt may start
	w.signal(syscall.SIGCONT)
	return w, s, id
}

// A client sends its request and closes at once. The program may read the request before the close arrives, so an attempt starts then or
// never.
func TestClientGoesAtOnce(t *testing.T) {
	const clients, atMost = 100, 100 * time.Millisecond
	s := newBackend(t, "s-00000001", sends(message(200, "sound")))
	w := newCrossing(t, nil, s)
	still, closed := newStallMeter(t), map[string]time.Time{}
	for i := range clients {
		id, conn := newID(), w.dial(0)
		conn.send(text("write", id, 8*time.Second, "body"))
		if i%2 == 0 {
			conn.Close()
		} else {
			reset(conn.TCPConn)
		}
		closed[id] = time.Now()
	}
	w.ask("read", "", "")
	w.eventually("no request is open", func() bool { return w.counter("open") == 0 })
	for _, a := range s.got() {
		if at, gone := closed[a.id]; gone {
			assert.Less(t, a.at.Sub(at), atMost+still.total())
			assert.Len(t, s.of(a.id), 1)
		}
	}
}

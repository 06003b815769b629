package main

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// longestDeadline is the longest of all classes in the tests of how long a shutdown may take.
	longestDeadline = 3 * time.Second
	// killAfter is the earliest time after SIGTERM, beyond the longest deadline, at which a process may be killed.
	killAfter = 700 * time.Millisecond
)

// newEnding returns a sidecar whose longest deadline is longestDeadline.
func newEnding(t *testing.T, backends ...*backend) *testSidecar {
	return newCrossing(t, func(w *testSidecar) {
		w.setClassField("objectiveS", 2.5)
		w.setClassField("giveUpS", longestDeadline.Seconds())
	}, backends...)
}

// The last response, which is written when nothing else keeps the process running, reaches a client completely that reads it 300 ms
// later and has sent more meanwhile. The connection then closes in order: no reset discards the response.
func TestShutdownLastAnswerIsReceived(t *testing.T) {
	for _, c := range []struct {
		name    string
		body    int
		receive int // the client's receive buffer; 0: the system's default
	}{
		{"small", 100, 0},
		{"60 KB", 60 << 10, 0},
		{"60 KB, to a client with a small receive buffer", 60 << 10, 4 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			body := strings.Repeat("x", c.body)
			s := newBackend(t, "s-00000001", sendsWhen(release, message(200, body)))
			w := newEnding(t, s)
			conn := w.dial(c.receive)
			conn.send(text("write", newID(), longestDeadline, "body"))
			w.eventually("the attempt", func() bool { return len(s.got()) == 1 })
			w.signal(syscall.SIGTERM)
			w.awaitNoAccept()
			close(release)
			next := newID()
			for range 15 { // 300 ms
				time.Sleep(20 * time.Millisecond)
				conn.send(text("write", next, longestDeadline, "body"))
			}
			a, err := conn.answer()
			assert.NoError(t, err, "%d of %d bytes", len(a.body), c.body)
			assert.Equal(t, c.body, len(a.body))
			assert.Equal(t, io.EOF, conn.end())
			assert.Empty(t, s.of(next))
			w.awaitExit(time.Now())
		})
	}
}

// The process ends by itself within the longest deadline plus 0.7 s, whatever its clients do, and answers what had arrived by then.
func TestShutdownEndsInTime(t *testing.T) {
	large := message(200, strings.Repeat("x", 8<<20))
	hanging := func(c *net.TCPConn, _ attempt) bool { _, _ = c.Read(make([]byte, 1)); return false }
	for _, c := range []struct {
		name    string
		answers responder
		// acts lets a client act around SIGTERM, which term sends, and returns the checks to run once the process has ended.
		acts func(w *testSidecar, s *backend, term func()) (check func())
	}{
		{"a client stays idle and never closes", hanging, func(w *testSidecar, s *backend, term func()) func() {
			w.dial(0)
			conn := w.dial(0)
			conn.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
			_, err := conn.answer()
			require.NoError(w, err)
			term()
			return func() { assert.Equal(w, io.EOF, conn.end()) }
		}},
		{"a request that arrived 0.3 s after the signal hangs", hanging, func(w *testSidecar, s *backend, term func()) func() {
			term()
			time.Sleep(300 * time.Millisecond)
			conn := w.dial(0)
			conn.send(text("write", newID(), longestDeadline, "body"))
			return func() {
				a, err := conn.answer()
				require.NoError(w, err)
				assert.Equal(w, 504, a.status)
			}
		}},
		{"a request never arrives completely", hanging, func(w *testSidecar, s *backend, term func()) func() {
			conn := w.dial(0)
			conn.send("GET /read HTT")
			term()
			return func() {
				a, err := conn.answer()
				require.NoError(w, err)
				assert.Equal(w, 408, a.status)
			}
		}},
		{"a request arrives slowly and then hangs", hanging, func(w *testSidecar, s *backend, term func()) func() {
			conn, all := w.dial(0), text("write", newID(), longestDeadline, "body")
			conn.send(all[:20])
			term()
			time.Sleep(1500 * time.Millisecond)
			conn.send(all[20:])
			return func() {
				a, err := conn.answer()
				require.NoError(w, err, "the complete request must be answered")
				assert.GreaterOrEqual(w, a.status, 500)
			}
		}},
		{"a large answer is not read", sends(large), func(w *testSidecar, s *backend, term func()) func() {
			conn := w.dial(4 << 10)
			conn.send(text("read", newID(), longestDeadline, ""))
			w.eventually("the answer has begun", func() bool { return w.countOfOutcome("execution_ends", "ok") == 1 })
			term()
			return func() {
				_, err := conn.answer()
				assert.Error(w, err, "the response is recognizable as incomplete")
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newBackend(t, "s-00000001", c.answers)
			w := newEnding(t, s)
			var signaledAt time.Time
			still := newStallMeter(t)
			check := c.acts(w, s, func() {
				signaledAt = time.Now()
				w.signal(syscall.SIGTERM)
			})
			assert.Less(t, w.awaitExit(signaledAt), longestDeadline+killAfter+still.total())
			check()
		})
	}
}

// A new configuration just before SIGTERM, right after it, and while requests are in flight costs none of these requests.
// TestReloadsInARow covers it without requests.
func TestShutdownMeetsReload(t *testing.T) {
	release := make(chan struct{})
	s := newBackend(t, "s-00000001", sendsWhen(release, message(200, "sound")))
	w := newCrossing(t, nil, s)
	reload := func() {
		w.discovery = newDiscovery(t)
		w.writeConfig()
		w.signal(syscall.SIGHUP)
	}
	held, second, rest := w.dial(0), w.dial(0), text("write", newID(), 8*time.Second, "body")
	held.send(text("write", newID(), 8*time.Second, "body"))
	second.send(rest[:30])
	w.eventually("the attempt", func() bool { return len(s.got()) == 1 })
	reload()
	w.signal(syscall.SIGTERM)
	w.awaitLog("msg=ending", 1)
	w.awaitLog("configuration read", 1) // before the file is written again: the reader would find half of it
	reload()
	w.awaitLog("configuration read", 2)
	second.send(rest[30:])
	w.eventually("the other attempt", func() bool { return len(s.got()) == 2 })
	reload()
	w.awaitLog("configuration read", 3)
	close(release)
	for _, conn := range []*client{held, second} {
		a, err := conn.answer()
		require.NoError(t, err)
		assert.Equal(t, "sound", a.body)
		assert.Equal(t, io.EOF, conn.end())
	}
	w.awaitExit(time.Now())
	assert.Len(t, s.got(), 2)
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rejectedNotStarted is a response that rejects an attempt before it has run.
const rejectedNotStarted = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"

// answersAfter returns a responder that waits for the processing time after it has read an attempt, and then answers.
func answersAfter(work time.Duration, answer string) responder {
	return func(c *net.TCPConn, a attempt) bool {
		time.Sleep(work)
		return sends(answer)(c, a)
	}
}

// The time limit sent to a server never exceeds the time that the client has left, whatever the request has waited for. The test knows a
// lower bound of that wait, so a busy machine only makes the check more lenient than necessary.
func TestRequestTimeoutWithinTimeLeft(t *testing.T) {
	const timeout = 6 * time.Second
	ask := func(body string) (id, all string) { id = newID(); return id, text("write", id, timeout, body) }
	for _, c := range []struct {
		name string
		// wait sends a request, lets it reach its server, and returns its id and the least time that it has waited by then.
		wait func(w *testSidecar, s *backend) (id string, waited time.Duration)
		late bool
	}{
		{name: "nothing", wait: func(w *testSidecar, s *backend) (string, time.Duration) {
			id, all := ask("body")
			w.dial(0).send(all)
			return id, 0
		}},
		{name: "a server that turns away", wait: func(w *testSidecar, s *backend) (string, time.Duration) {
			s.set(onceThen(answersAfter(400*time.Millisecond, rejectedNotStarted), sends(message(200, "sound"))))
			id, all := ask("body")
			w.dial(0).send(all)
			w.eventually("the next attempt", func() bool { return len(s.of(id)) == 2 })
			return id, 400 * time.Millisecond
		}},
		{name: "its connection", late: true, wait: func(w *testSidecar, s *backend) (string, time.Duration) {
			id, all := ask("body")
			began := time.Now()
			w.dial(0).send(all)
			w.eventually("the dial", func() bool { return s.isIn(w.T, synSent) })
			waited := time.Since(began)
			s.comeUp(w.T) // the kernel retries the connect after a second
			return id, waited
		}},
		{name: "the program, which stood still", wait: func(w *testSidecar, s *backend) (string, time.Duration) {
			conn := w.dial(0)
			conn.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
			_, err := conn.answer()
			require.NoError(w, err)
			w.freeze()
			id, all := ask("body")
			conn.send(all)
			time.Sleep(500 * time.Millisecond) // it stays in the socket's receive buffer
			w.signal(syscall.SIGCONT)
			return id, 500 * time.Millisecond
		}},
		{name: "its own body", wait: func(w *testSidecar, s *backend) (string, time.Duration) {
			id, all := ask(strings.Repeat("x", 60<<10))
			conn, pieces := w.dial(0), 6
			for i := range pieces { // its time limit counts from its last byte
				conn.send(all[i*len(all)/pieces : (i+1)*len(all)/pieces])
				time.Sleep(50 * time.Millisecond)
			}
			return id, 0
		}},
		{name: "its own long body", wait: func(w *testSidecar, s *backend) (string, time.Duration) {
			id, all := ask(strings.Repeat("x", 3<<20)) // it is forwarded while it arrives
			conn := w.dial(0)
			conn.send(all[:2<<20])
			w.eventually("the request is forwarded", func() bool { return len(s.connections()) == 1 })
			conn.send(all[2<<20:])
			return id, 0
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			answers := sends(message(200, "sound"))
			var s *backend
			if c.late {
				s = newLateBackend(t, "s-00000001", answers)
			} else {
				s = newBackend(t, "s-00000001", answers)
			}
			w := newCrossing(t, nil, s)
			id, waited := c.wait(w, s)
			w.eventually("the attempt", func() bool { return len(s.of(id)) > 0 })
			all := s.of(id)
			timeoutHeader := all[len(all)-1].timeout
			const tick = 15 * time.Millisecond // resolution of the kernel's queueing time stamps, with a margin
			assert.LessOrEqual(t, timeoutHeader, timeout-waited+tick)
			assert.Greater(t, timeoutHeader, time.Second)
		})
	}
}

// A pipelined request has the same time limit as one whose client waits from the moment of sending.
func TestRequestTimeoutWhenPipelined(t *testing.T) {
	const timeout, work = 6 * time.Second, 700 * time.Millisecond
	for name, more := range map[string]bool{"alone": false, "more comes behind it": true} {
		t.Run(name, func(t *testing.T) {
			s := newBackend(t, "s-00000001", onceThen(answersAfter(work, message(200, "sound")), sends(message(200, "sound"))))
			w := newCrossing(t, nil, s)
			conn, id := w.dial(0), newID()
			conn.send(text("write", newID(), timeout, "") + text("write", id, timeout, ""))
			w.eventually("the first attempt", func() bool { return len(s.got()) == 1 })
			if more {
				time.Sleep(work / 2)
				conn.send(text("write", newID(), timeout, ""))
			}
			for range 2 {
				_, err := conn.answer()
				require.NoError(t, err)
			}
			require.Len(t, s.of(id), 1)
			assert.LessOrEqual(t, s.of(id)[0].timeout, timeout-work+15*time.Millisecond)
		})
	}
}

// Short deadlines are met: a response arrives, no attempt starts after the deadline, and no server is told a longer time than is left.
func TestShortDeadlines(t *testing.T) {
	for _, timeout := range []time.Duration{50 * time.Millisecond, 120 * time.Millisecond, 280 * time.Millisecond} {
		for name, answers := range map[string]responder{
			"hangs":                func(c *net.TCPConn, _ attempt) bool { _, _ = c.Read(make([]byte, 1)); return false },
			"rejects":              sends(rejectedNotStarted),
			"rejects near its end": answersAfter(timeout*9/10, rejectedNotStarted),
			"errs near its end":    answersAfter(timeout*9/10, message(500, "")),
			"answers late":         answersAfter(2*timeout, message(200, "late")),
		} {
			t.Run(fmt.Sprint(timeout, ", server ", name), func(t *testing.T) {
				still := newStallMeter(t)
				s := newBackend(t, "s-00000001", answers)
				w := newCrossing(t, func(w *testSidecar) {
					w.setClassField("objectiveS", timeout.Seconds()*0.8)
					w.setClassField("giveUpS", timeout.Seconds())
				}, s)
				for _, class := range []string{"read", "alert", "write"} {
					id, conn, began := newID(), w.dial(0), time.Now()
					conn.send(text(class, id, timeout, ""))
					a, err := conn.answer()
					took := time.Since(began)
					require.NoError(t, err)
					assert.NotEqual(t, 200, a.status)
					assert.Less(t, took, timeout+500*time.Millisecond+still.total(), class)
					time.Sleep(timeout) // for attempts that must not arrive
					for _, attempt := range s.of(id) {
						assert.LessOrEqual(t, attempt.timeout, timeout)
						assert.Less(t, attempt.at.Sub(began), timeout+50*time.Millisecond+still.total(), class)
					}
					assert.LessOrEqual(t, len(s.of(id)), 3)
				}
				assert.LessOrEqual(t, w.counter("overdue"), w.counter("stalls"), "the policy answered, unless the program was stopped")
			})
		}
	}
}

// Where the repeat window is shorter than the deadline, no further attempt of a guarded class starts after it: neither one that is
// decided then, nor one that was decided before and whose connection is established then.
func TestRepeatWindow(t *testing.T) {
	const window = 600 * time.Millisecond
	setWindow := func(w *testSidecar) {
		w.setClassField("objectiveS", 8)
		w.setClassField("giveUpS", 16)
		w.setClassField("windowS", window.Seconds())
	}
	t.Run("an error after it", func(t *testing.T) {
		s := newBackend(t, "s-00000001", onceThen(answersAfter(window, message(500, "")), sends(message(200, "sound"))))
		w := newCrossing(t, setWindow, s)
		id, conn := newID(), w.dial(0)
		conn.send(text("alert", id, 12*time.Second, ""))
		a, err := conn.answer()
		require.NoError(t, err)
		assert.Equal(t, 502, a.status)
		assert.Len(t, s.of(id), 1)
	})
	t.Run("an error before it", func(t *testing.T) {
		s := newBackend(t, "s-00000001", onceThen(sends(message(500, "")), sends(message(200, "sound"))))
		w := newCrossing(t, func(w *testSidecar) {
			setWindow(w)
			w.setClassField("windowS", 5)
		}, s)
		id, conn := newID(), w.dial(0)
		conn.send(text("alert", id, 12*time.Second, ""))
		a, err := conn.answer()
		require.NoError(t, err)
		assert.Equal(t, 200, a.status)
		assert.Len(t, s.of(id), 2)
	})
	t.Run("rejected after it", func(t *testing.T) { // nothing has run, so the window has not begun
		s := newBackend(t, "s-00000001", onceThen(answersAfter(window, rejectedNotStarted), sends(message(200, "sound"))))
		w := newCrossing(t, setWindow, s)
		id, conn := newID(), w.dial(0)
		conn.send(text("alert", id, 12*time.Second, ""))
		a, err := conn.answer()
		require.NoError(t, err)
		assert.Equal(t, 200, a.status)
		assert.Len(t, s.of(id), 2)
	})
	t.Run("its connection is established after it", func(t *testing.T) {
		errs := newBackend(t, "s-00000001", sends(message(500, "")))
		late := newLateBackend(t, "s-00000002", sends(message(200, "sound")))
		w := newCrossing(t, setWindow, errs, late)
		var id string
		var conn *client
		for range 30 { // until the first attempt of a request goes to the failing server and the next to the other
			id, conn = newID(), w.dial(0)
			conn.send(text("alert", id, 12*time.Second, ""))
			if within(300*time.Millisecond, func() bool { return len(errs.of(id)) == 1 }) {
				break
			}
			conn.Close()
		}
		require.Len(t, errs.of(id), 1)
		w.eventually("the dial", func() bool { return late.isIn(t, synSent) })
		late.comeUp(t) // the kernel retries the connect a second after it began
		_, err := conn.answer()
		require.NoError(t, err)
		for _, again := range late.of(id) {
			assert.Less(t, again.at.Sub(errs.of(id)[0].at), window)
		}
	})
}

// A connection is established while the program is stopped, and the request's deadline has passed when it resumes: nothing is written.
func TestConnectionComesUpAtTheDeadline(t *testing.T) {
	const timeout = 4 * time.Second // the kernel retries the connect after one and after three seconds
	for i := range 6 {              // either event, the connection or the timeout, may be seen first
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			s := newLateBackend(t, "s-00000001", sends(message(200, "sound")))
			w := newCrossing(t, func(w *testSidecar) { w.setClassField("objectiveS", 3) }, s)
			var id string
			var conn *client
			var began time.Time
			// Danger: on a busy machine the dial may be seen, and the program stopped, only after the deadline.
			for held, tries := false, 0; !held; tries++ {
				require.Less(t, tries, 5, "the program could not be stopped while it dials")
				id, conn = newID(), w.dial(0)
				conn.send(text("write", id, timeout, ""))
				began = time.Now()
				w.eventually("the dial", func() bool { return s.isIn(t, synSent) })
				w.freeze()
				if held = s.isIn(t, synSent) && time.Since(began) < timeout/2; !held {
					w.signal(syscall.SIGCONT)
					_, err := conn.answer()
					require.NoError(t, err)
				}
			}
			s.comeUp(t)
			w.eventually("the connection is established", func() bool { return len(s.connections()) == 2 }) // the first connection fills the queue
			time.Sleep(time.Until(began.Add(timeout + 200*time.Millisecond)))
			w.signal(syscall.SIGCONT)
			a, err := conn.answer()
			require.NoError(t, err)
			assert.NotEqual(t, 200, a.status)
			w.eventually("no request is open", func() bool { return w.counter("open") == 0 })
			w.ask("read", "", "") // by then everything that was written has arrived
			assert.Empty(t, s.of(id), "no attempt starts after the deadline")
		})
	}
}

// A program that is scheduled only in short bursts sends no attempt after its deadline: each tells its server a time above 0.
func TestNoAttemptWithoutTime(t *testing.T) {
	const requests, timeout = 200, 50 * time.Millisecond
	s := newBackend(t, "s-00000001", func(c *net.TCPConn, a attempt) bool { // each attempt has its own connection
		sends("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")(c, a)
		return false
	})
	w := newCrossing(t, func(w *testSidecar) {
		w.setClassField("objectiveS", 0.045)
		w.setClassField("giveUpS", timeout.Seconds())
	}, s)
	over, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-over:
				return
			default:
			}
			_ = w.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(10+rand.IntN(40)) * time.Millisecond)
			_ = w.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(time.Duration(100+rand.IntN(900)) * time.Microsecond)
		}
	}()
	for range requests {
		conn := w.dial(0)
		conn.send(text("read", newID(), timeout, ""))
		_, err := conn.answer()
		assert.NoError(t, err)
		conn.Close()
	}
	close(over)
	<-stopped
	late := 0
	for _, a := range s.got() {
		if a.timeout <= 0 {
			late++
		}
	}
	t.Logf("%d attempts, %d with no time left", len(s.got()), late)
	assert.NotEmpty(t, s.got())
	assert.Zero(t, late)
}

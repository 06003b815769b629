package policy

import "testing"

// Idle connections that are dropped unseen: after a loss or two, they are closed before a send, and no host is
// blamed.
func TestIdleConnectionsDroppedUnseen(t *testing.T) {
	for _, c := range []struct {
		name   string
		how    Outcome
		pause  float64
		closes bool
	}{{"reset", Reset, 2, true}, {"silence", TimedOut, 2, true}, {"answered", OK, 2, false}} {
		s := plain()
		s.ConnIdleTimeoutSeconds = 15
		r := newRecorder(t, s)
		r.list(ListFull, fleet(3)...)
		id, closed := uint32(0), 0
		ask := func(how Outcome) {
			r.advance(r.now + c.pause)
			id++
			q := r.request(Request{ID: id, Class: 2, Deadline: r.now + 0.5})
			if len(q.sends) == 0 {
				return
			}
			if n := len(r.closed); n > closed {
				closed, how = n, OK // a new connection works
			}
			if how == TimedOut {
				r.advance(q.Deadline)
			}
			r.finish(q, 0, how)
		}
		for range 12 {
			ask(OK)
		}
		for range 8 {
			ask(c.how)
		}
		if got := closed > 0; got != c.closes {
			t.Errorf("%s: idle connections closed %d times", c.name, closed)
		}
		if got := len(r.logs) == 1; got != c.closes {
			t.Errorf("%s: log lines %q", c.name, r.logs)
		}
	}
}

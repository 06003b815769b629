package policy

import "testing"

// Connections are dropped unnoticed while idle. After one or two losses, idle connections are closed before a send.
func TestLostIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		pause   float64
		closes  bool
	}{{"reset", Reset, 2, true}, {"silence", TimedOut, 2, true}, {"answered", OK, 2, false}} {
		s := baseSettings()
		s.ConnIdleTimeoutSeconds = 15
		r := newRecorder(t, s)
		r.updateHosts(ListFull, manyHosts(3)...)
		id, closed := uint32(0), 0
		ask := func(outcome Outcome) {
			r.advance(r.now + c.pause)
			id++
			q := r.request(Request{ID: id, Class: 2, Deadline: r.now + 0.5})
			if len(q.attempts) == 0 {
				return
			}
			if n := len(r.idleClosed); n > closed {
				closed, outcome = n, OK // a new connection works
			}
			if outcome == TimedOut {
				r.advance(q.Deadline)
			}
			r.finish(q, 0, outcome)
		}
		for range 12 {
			ask(OK)
		}
		for range 8 {
			ask(c.outcome)
		}
		if got := closed > 0; got != c.closes {
			t.Errorf("%s: idle connections were closed %d times", c.name, closed)
		}
		if got := len(r.logs) == 1; got != c.closes {
			t.Errorf("%s: logged %q", c.name, r.logs)
		}
	}
}

package policy

import "testing"

// A deep probe that comes back late, or not at all, tells a line where reports are absent.
func TestLateProbesTellALine(t *testing.T) {
	for _, c := range []struct {
		how   Outcome
		delay float64
		sent  bool
	}{{OK, 0.004, true}, {OK, 0.25, false}, {TimedOut, 0.25, false}} {
		s := plain()
		s.ProbesEnabled = true
		r := newRecorder(t, s)
		r.list(ListFull, fleet(3)...)
		for r.now < 10 {
			r.advance(r.now + 0.004)
			r.answer(OK, nil)
		}
		for until := r.now + 8; r.now < until; {
			r.advance(r.now + 0.001)
			keep := r.probes[:0]
			for _, p := range r.probes {
				if r.now-p.at >= c.delay {
					r.b.ProbeDone(r.now, Result{Host: p.host, Outcome: c.how, DelaySeconds: r.now - p.at})
				} else {
					keep = append(keep, p)
				}
			}
			r.probes = keep
		}
		if q := r.request(Request{ID: 1, Deadline: r.now + 1}); (len(q.sends) > 0) != c.sent {
			t.Errorf("probes end with %v after %v: sent %v, want %v", c.how, c.delay, len(q.sends) > 0, c.sent)
		}
	}
}

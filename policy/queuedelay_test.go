package policy

import "testing"

// A deep probe that is answered late or not at all shows a queue at the host, where reports are absent.
func TestSlowProbesShowQueueDelay(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		delay   float64
		sent    bool
	}{{OK, 0.004, true}, {OK, 0.25, false}, {TimedOut, 0.25, false}} {
		s := baseSettings()
		s.ProbesEnabled = true
		r := newRecorder(t, s)
		r.updateHosts(ListFull, manyHosts(3)...)
		for r.now < 10 {
			r.advance(r.now + 0.004)
			r.answerProbes(OK, nil)
		}
		for until := r.now + 8; r.now < until; {
			r.advance(r.now + 0.001)
			keep := r.probes[:0]
			for _, p := range r.probes {
				if r.now-p.sentAt >= c.delay {
					r.balancer.ProbeDone(r.now, Result{Host: p.host, Outcome: c.outcome, DelaySeconds: r.now - p.sentAt})
				} else {
					keep = append(keep, p)
				}
			}
			r.probes = keep
		}
		if q := r.request(Request{ID: 1, Deadline: r.now + 1}); (len(q.attempts) > 0) != c.sent {
			t.Errorf("probes end with outcome %v after %v s: request sent: %v, want %v", c.outcome, c.delay, len(q.attempts) > 0, c.sent)
		}
	}
}

package policy

import "testing"

func TestEstimateThatRefusesEverythingIsRelaxed(t *testing.T) {
	for name, s := range map[string]Settings{"no reports": baseSettings(), "polled": polledSettings()} {
		r := newRecorder(t, s)
		r.updateHosts(ListFull, readyHosts(1, 2)...)
		for i := range r.balancer.classMeanSeconds {
			r.balancer.classMeanSeconds[i] = 10
		}
		r.balancer.serviceSeconds = 10
		served := 0
		for i := range uint32(400) {
			r.advance(r.now + 0.05)
			r.answerProbes(OK, func(uint32) float32 { return 0 })
			r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
			r.advance(r.now + 0.001)
			r.answerProbes(OK, func(uint32) float32 { return 0 })
			for _, id := range r.ids {
				if q := r.requests[id]; len(q.attempts) > 0 && !q.attempts[0].isDone {
					r.finish(q, 0, OK)
					served++
				}
			}
		}
		if served < 50 {
			t.Errorf("%s: %d of 400 requests served by idle hosts", name, served)
		}
	}
}

func TestHeavyRequestsWithHints(t *testing.T) {
	for _, c := range []struct {
		work  float64 // in seconds; the mean is 0.05, which takes 0.075 s
		ended string
	}{{0.05, ""}, {0.23, ""}, {1.5, "refused"}} {
		r := newRecorder(t, polledSettings())
		r.updateHosts(ListFull, readyHosts(1, 2)...)
		for r.now < 2 {
			r.advance(r.now + 0.001)
			r.answerProbes(OK, nil)
		}
		r.balancer.meanWorkSeconds, r.balancer.serviceSeconds = 0.05, 0.075
		q := r.request(Request{ID: 1, Deadline: r.now + 1, HasWork: true, WorkSeconds: c.work})
		r.advance(r.now + 0.001)
		r.answerProbes(OK, func(uint32) float32 { return 0 })
		r.advance(r.now + 0.002)
		if q.answer != c.ended || (len(q.attempts) == 1) != (c.ended == "") {
			t.Errorf("work of %v: %d sends, answer %q", c.work, len(q.attempts), q.answer)
		}
	}
}

func TestUnservableRequestIsAnsweredSoon(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1)...)
	for i := range uint32(40) { // these stay in flight, so that the only host is full
		r.request(Request{ID: 1 + i, Deadline: 1})
	}
	last := r.request(Request{ID: 99, Deadline: 1})
	r.advance(0.1)
	if last.answer != "refused" {
		t.Errorf("a request that no host can take: answer %q after a third of the time to its target, want refused", last.answer)
	}
}

package policy

import "testing"

func TestEstimateThatRefusesEverythingFades(t *testing.T) {
	for name, s := range map[string]Settings{"no reports": plain(), "polled": polled()} {
		r := newRecorder(t, s)
		r.list(ListFull, ready(1, 2)...)
		for i := range r.b.classMeanSeconds {
			r.b.classMeanSeconds[i] = 10
		}
		r.b.serviceSeconds = 10
		served := 0
		for i := range uint32(400) {
			r.advance(r.now + 0.05)
			r.answer(OK, func(uint32) float32 { return 0 })
			r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
			r.advance(r.now + 0.001)
			r.answer(OK, func(uint32) float32 { return 0 })
			for _, id := range r.ids {
				if q := r.requests[id]; len(q.sends) > 0 && !q.sends[0].done {
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

func TestHeavyHintedRequests(t *testing.T) {
	for _, c := range []struct {
		work  float64 // the usual is 0.05, served in 0.075
		ended string
	}{{0.05, ""}, {0.23, ""}, {1.5, "refused"}} {
		r := newRecorder(t, polled())
		r.list(ListFull, ready(1, 2)...)
		for r.now < 2 {
			r.advance(r.now + 0.001)
			r.answer(OK, nil)
		}
		r.b.meanWorkSeconds, r.b.serviceSeconds = 0.05, 0.075
		q := r.request(Request{ID: 1, Deadline: r.now + 1, HasWork: true, WorkSeconds: c.work})
		r.advance(r.now + 0.001)
		r.answer(OK, func(uint32) float32 { return 0 })
		r.advance(r.now + 0.002)
		if q.ended != c.ended || (len(q.sends) == 1) != (c.ended == "") {
			t.Errorf("work of %v: %d sends, %q", c.work, len(q.sends), q.ended)
		}
	}
}

func TestWhatNobodyCanTakeIsAnsweredSoon(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1)...)
	for i := range uint32(40) { // all out, so that the only host is full
		r.request(Request{ID: 1 + i, Deadline: 1})
	}
	last := r.request(Request{ID: 99, Deadline: 1})
	r.advance(0.1)
	if last.ended != "refused" {
		t.Errorf("a request that nobody can take is %q after a third of its aim", last.ended)
	}
}

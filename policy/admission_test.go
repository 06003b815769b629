package policy

import "testing"

func TestBurstingTenantExceedsItsShare(t *testing.T) {
	s := baseSettings()
	s.Tenants = []Tenant{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.3}, {Name: "c", Share: 0.2}}
	b := New(s, 1, newRecorder(t, s))
	over := [3]int{}
	ask := func(tenant int) {
		if b.exceedsShare(tenant) {
			over[tenant]++
		}
	}
	for i := range 1000 {
		b.now += 0.02
		ask([]int{0, 1, 0, 2, 0, 1, 0, 1, 0, 2}[i%10])
	}
	if over != [3]int{} {
		t.Fatalf("requests within the shares: %v counted as beyond the share, want none", over)
	}
	for i := range 400 {
		b.now += 0.01
		ask([]int{0, 2, 2, 1, 2, 2, 0, 2, 2, 1}[i%10])
	}
	if over[0]+over[1] > 0 || over[2] < 100 {
		t.Errorf("with one tenant bursting: %v requests counted as beyond the share, want them all from the third tenant", over)
	}
}

// Where clients mark retries, an unmarked try with a shorter timeout than usual is a first try, not a retry of a client with a
// longer timeout.
func TestMarkedRetriesAllowTwoTimeoutsInOneClass(t *testing.T) {
	s := baseSettings()
	s.RetriesMarked = true
	r := newRecorder(t, s)
	r.updateHosts(ListFull, readyHosts(1, 2)...)
	for i := range uint32(40) {
		r.advance(r.now + 0.1)
		q := r.request(Request{ID: i, Deadline: r.now + []float64{0.6, 0.5}[i%2]})
		if len(q.attempts) != 1 {
			t.Fatalf("try %d: answer %q after %d sends, want one send", i, q.answer, len(q.attempts))
		}
		r.finish(q, 0, OK)
	}
	r.advance(r.now + 0.1)
	if q := r.request(Request{ID: 99, Repeat: true, Deadline: r.now + 0.5}); len(q.attempts) > 0 {
		t.Error("a retry was sent after the target of the first try had passed")
	}
}

func TestTryCutShortByTotalTimeoutIsRefused(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1, 2)...)
	ask := func(id uint32, wait float64) *trackedRequest {
		r.advance(r.now + 0.1)
		q := r.request(Request{ID: id, Deadline: r.now + wait})
		if len(q.attempts) > 0 {
			r.finish(q, 0, OK)
		}
		return q
	}
	for i := range uint32(5) {
		if q := ask(1+i, 0.6); q.answer != "served" {
			t.Fatalf("a first try: answer %q, want served", q.answer)
		}
	}
	ask(10, 0.95) // a single try with a longer timeout does not change the usual one
	if q := ask(11, 0.6); q.answer != "served" {
		t.Errorf("a try with the usual timeout after one with a longer timeout: answer %q, want served", q.answer)
	}
	// The total timeout is 1 s, so a try with 0.5 s left began at least 0.5 s ago, past the target of 0.3 s.
	q := ask(12, 0.5)
	r.advance(r.now + 0.3)
	if q.answer != "refused" || len(q.attempts) > 0 {
		t.Errorf("a try that began too long ago: answer %q after %d sends, want refused without a send", q.answer, len(q.attempts))
	}
}

// A marked retry keeps the target of the first try: it is sent before the target and refused after it.
func TestMarkedRetryKeepsItsTarget(t *testing.T) {
	for _, c := range []struct {
		pause float64
		sends int
	}{{0.1, 1}, {0.5, 0}} {
		s := baseSettings()
		s.MaxAttempts = 1
		r := newRecorder(t, s)
		r.updateHosts(ListFull, manyHosts(4)...)
		r.finish(r.request(Request{ID: 1, Deadline: 0.8}), 0, Rejected)
		r.advance(c.pause)
		if q := r.request(Request{ID: 2, Repeat: true, Deadline: r.now + 0.8}); len(q.attempts) != c.sends {
			t.Errorf("a retry %v s after the first try: %d sends, answer %q", c.pause, len(q.attempts), q.answer)
		}
	}
}

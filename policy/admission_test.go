package policy

import "testing"

func TestBurstingTenantWaitsItsTurn(t *testing.T) {
	s := plain()
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
		t.Fatalf("within the shares: over share %v times", over)
	}
	for i := range 400 {
		b.now += 0.01
		ask([]int{0, 2, 2, 1, 2, 2, 0, 2, 2, 1}[i%10])
	}
	if over[0]+over[1] > 0 || over[2] < 100 {
		t.Errorf("with one tenant bursting: over share %v times", over)
	}
}

// Where clients mark their retries, one of little patience is not taken for a retry of a patient one.
func TestTwoPatiencesInOneClass(t *testing.T) {
	s := plain()
	s.RetriesMarked = true
	r := newRecorder(t, s)
	r.list(ListFull, ready(1, 2)...)
	for i := range uint32(40) {
		r.advance(r.now + 0.1)
		q := r.request(Request{ID: i, Deadline: r.now + []float64{0.6, 0.5}[i%2]})
		if len(q.sends) != 1 {
			t.Fatalf("try %d is %q after %d sends", i, q.ended, len(q.sends))
		}
		r.finish(q, 0, OK)
	}
	r.advance(r.now + 0.1)
	if q := r.request(Request{ID: 99, Repeat: true, Deadline: r.now + 0.5}); len(q.sends) > 0 {
		t.Error("a retry whose first try's aim has passed is sent")
	}
}

func TestTryCutByTheTotalWaitIsLate(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2)...)
	ask := func(id uint32, wait float64) *tracked {
		r.advance(r.now + 0.1)
		q := r.request(Request{ID: id, Deadline: r.now + wait})
		if len(q.sends) > 0 {
			r.finish(q, 0, OK)
		}
		return q
	}
	for i := range uint32(5) {
		if q := ask(1+i, 0.6); q.ended != "served" {
			t.Fatalf("a first try is %q", q.ended)
		}
	}
	ask(10, 0.95) // one patient client does not make the others late
	if q := ask(11, 0.6); q.ended != "served" {
		t.Errorf("a usual try after an odd one is %q", q.ended)
	}
	// The total wait is 1 s, so a try of 0.5 s is at least 0.5 s late, past the aim of 0.3 s.
	q := ask(12, 0.5)
	r.advance(r.now + 0.3)
	if q.ended != "refused" || len(q.sends) > 0 {
		t.Errorf("a late try: %q after %d sends", q.ended, len(q.sends))
	}
}

// A marked repeat keeps the aim of the try that it repeats: sent while there is time, refused afterwards.
func TestMarkedRepeatKeepsItsAim(t *testing.T) {
	for _, c := range []struct {
		pause float64
		sends int
	}{{0.1, 1}, {0.5, 0}} {
		s := plain()
		s.MaxAttempts = 1
		r := newRecorder(t, s)
		r.list(ListFull, fleet(4)...)
		r.finish(r.request(Request{ID: 1, Deadline: 0.8}), 0, Rejected)
		r.advance(c.pause)
		if q := r.request(Request{ID: 2, Repeat: true, Deadline: r.now + 0.8}); len(q.sends) != c.sends {
			t.Errorf("a repeat %v after the first try: %d sends, %q", c.pause, len(q.sends), q.ended)
		}
	}
}

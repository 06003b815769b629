package policy

import "testing"

// A host that falls silent or drains is not usable, also when all do; and asking changes nothing: the clock of the
// decisions stays, and the suspicion that they last read.
func TestUsable(t *testing.T) {
	s := plain()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.list(ListFull, fleet(3)...)
	expect := func(want int) {
		t.Helper()
		before := r.b.now
		if n := r.b.UsableHosts(r.now); n != want {
			t.Errorf("%.1f: %d usable, want %d", r.now, n, want)
		}
		if r.b.now != before {
			t.Errorf("the clock of the decisions moved from %v to %v", before, r.b.now)
		}
	}
	live := func(seconds float64, dead func(host uint32) bool) {
		for until := r.now + seconds; r.now < until; {
			r.advance(r.now + 0.01)
			var silent []sentProbe
			out := r.probes[:0:0]
			for _, p := range r.probes {
				if dead(p.host) {
					silent = append(silent, p)
				} else {
					out = append(out, p)
				}
			}
			r.probes = out
			r.answer(OK, nil)
			r.probes = silent
		}
	}
	expect(3)
	live(10, func(uint32) bool { return false })
	expect(3)
	live(10, func(host uint32) bool { return host == 3 })
	expect(2)
	h := fleet(3)[0]
	h.State = Draining
	r.list(ListDelta, h)
	expect(1)
	live(10, func(uint32) bool { return true })
	expect(0)
}

package policy

import "testing"

// A host that is silent or draining is not usable, even if that holds for all hosts. The query does not change the Balancer's
// clock.
func TestUsableHosts(t *testing.T) {
	s := baseSettings()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.updateHosts(ListFull, manyHosts(3)...)
	expect := func(want int) {
		t.Helper()
		before := r.balancer.now
		if n := r.balancer.UsableHosts(r.now); n != want {
			t.Errorf("%.1f s: %d usable hosts, want %d", r.now, n, want)
		}
		if r.balancer.now != before {
			t.Errorf("the query moved the Balancer's clock from %v to %v", before, r.balancer.now)
		}
	}
	live := func(seconds float64, dead func(host uint32) bool) {
		for until := r.now + seconds; r.now < until; {
			r.advance(r.now + 0.01)
			var silent []probeInFlight
			out := r.probes[:0:0]
			for _, p := range r.probes {
				if dead(p.host) {
					silent = append(silent, p)
				} else {
					out = append(out, p)
				}
			}
			r.probes = out
			r.answerProbes(OK, nil)
			r.probes = silent
		}
	}
	expect(3)
	live(10, func(uint32) bool { return false })
	expect(3)
	live(10, func(host uint32) bool { return host == 3 })
	expect(2)
	h := manyHosts(3)[0]
	h.State = Draining
	r.updateHosts(ListDelta, h)
	expect(1)
	live(10, func(uint32) bool { return true })
	expect(0)
}

package policy

import "testing"

// The probe rate follows from the number of hosts and proxies and from the proxy's own traffic.
func TestProbeRateFollowsOwnTraffic(t *testing.T) {
	for _, c := range []struct {
		hosts, proxies int
		rate           float64 // requests a second
		low, high      float64 // probes a second
	}{{160, 1000, 1, 0.8, 4}, {160, 1000, 0, 0, 2}, {12, 4, 25, 10, 14}, {160, 1000, 100, 40, 90}} {
		s := baseSettings()
		s.ProbesEnabled, s.Replicas = true, c.proxies
		r := newRecorder(t, s)
		r.updateHosts(ListFull, manyHosts(c.hosts)...)
		probes, id := 0, uint32(0)
		for r.now < 60 {
			r.advance(r.now + 0.01)
			if r.now > 30 {
				probes += len(r.probes)
			}
			r.answerProbes(OK, nil)
			for float64(id) < r.now*c.rate {
				id++
				if q := r.request(Request{ID: id, Deadline: r.now + 0.6}); len(q.attempts) > 0 {
					r.finish(q, 0, OK)
				}
			}
		}
		if rate := float64(probes) / 30; rate < c.low || rate > c.high {
			t.Errorf("%d hosts, %d proxies, %v requests a second: %.1f probes a second", c.hosts, c.proxies, c.rate, rate)
		}
	}
}

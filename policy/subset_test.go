package policy

import "testing"

func TestSubsetCoversEveryHostEvenly(t *testing.T) {
	for _, c := range []struct{ hosts, proxies int }{{1, 1}, {5, 3}, {13, 4}, {100, 5}, {101, 7}, {300, 20}, {40, 90}} {
		count := make([]int, c.hosts)
		for self := range c.proxies {
			from, size := Subset(c.hosts, self, c.proxies, 6)
			for i := range size {
				count[(from+i)%c.hosts]++
			}
		}
		low, high := count[0], count[0]
		for _, n := range count {
			low, high = min(low, n), max(high, n)
		}
		if low < 1 || high-low > 2 {
			t.Errorf("%d hosts, %d proxies: a host is used by between %d and %d proxies", c.hosts, c.proxies, low, high)
		}
	}
	if from, size := Subset(0, 2, 0, 6); from != 0 || size != 0 {
		t.Errorf("empty ring: range from %d, size %d; want 0, 0", from, size)
	}
}

// A subset with many warming hosts lacks capacity, so it is extended until it has enough warm ones.
func TestSubsetHoldsEnoughWarmHosts(t *testing.T) {
	s := baseSettings()
	s.Replicas = 20
	r := newRecorder(t, s)
	r.advance(100)
	var hosts []HostInfo
	for id := range uint32(60) {
		h := HostInfo{ID: id + 1, State: Ready}
		if id%3 > 0 {
			h.Started = 99
		}
		hosts = append(hosts, h)
	}
	r.updateHosts(ListFull, hosts...)
	warm := 0
	for _, h := range r.balancer.members {
		if h.Started == 0 {
			warm++
		}
	}
	if warm < 18 {
		t.Errorf("%d of %d members are warm, want at least 18", warm, len(r.balancer.members))
	}
}

package policy

import (
	"math/rand/v2"
	"testing"
)

func TestWarmingHostGetsSlowStart(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1, 2, 3, 4)...)
	id, warming := uint32(0), map[int]int{}
	for step := range 3000 { // 100 requests a second, each answered after 80 ms
		at := float64(step) * 0.01
		r.advance(at)
		if step == 1000 {
			r.updateHosts(ListDelta, HostInfo{ID: 1, State: Ready, Started: at})
		}
		id++
		q := r.request(Request{ID: id, Deadline: at + 1})
		if len(q.attempts) == 1 && q.attempts[0].host == 1 && step >= 1000 {
			warming[(step-1000)/200]++
		}
		if old := r.requests[id-8]; old != nil && old.answer == "" {
			r.finish(old, 0, OK)
		}
	}
	// A warm host gets about 50 requests in 2 s; the warming one may get a part of that at first and all of it later.
	if warming[0] < 1 || warming[0] > 30 || warming[8] < 30 {
		t.Errorf("sends to the warming host in each period of 2 s: %v", warming)
	}
}

// A thousand proxies with little traffic must not overload a warming host by sending it one request each.
func TestThousandProxiesKeepSlowStartBudget(t *testing.T) {
	const proxies, hosts, capacity = 1000, 150, 14.0 // capacity: requests a second that a warm host can serve
	s := baseSettings()
	s.Replicas = proxies
	rng := rand.New(rand.NewPCG(5, 5))
	now := 0.0
	balancers, acts := make([]*Balancer, proxies), make([]*silentActions, proxies)
	for i := range balancers {
		s.Self = i
		acts[i] = newSilentActions(&now)
		balancers[i] = New(s, uint64(i), acts[i])
		balancers[i].UpdateHosts(0, ListFull, manyHosts(hosts))
	}
	warming := manyHosts(hosts)
	for i := range warming {
		warming[i].Started = 20
	}
	var at []float64 // times of the sends to one of the warming hosts
	id, step := uint32(0), 0.0007
	for now = 0.001; now < 26; now += step { // about 1,430 requests a second, two thirds of the fleet's capacity
		if now >= 20 && step == 0.0007 { // all hosts restart and traffic doubles
			step = 0.0003
			for _, b := range balancers {
				b.UpdateHosts(now, ListFull, warming)
			}
		}
		i := rng.IntN(proxies)
		id++
		before := acts[i].sent[72]
		balancers[i].StartRequest(now, Request{ID: id, Deadline: now + 0.6})
		if host := acts[i].lastHost; host > 0 {
			balancers[i].AttemptDone(now+0.0005, Result{ID: id, Host: host, Outcome: OK, DelaySeconds: 0.05, Final: true})
		}
		if acts[i].sent[72] > before && now >= 20 {
			at = append(at, now)
		}
	}
	if len(at) < 5 {
		t.Errorf("a warming host gets %d requests in 6 s, want at least 5", len(at))
	}
	for i, from := range at {
		n := 0
		for _, x := range at[i:] {
			if x <= from+s.SlowStartWindowSeconds {
				n++
			}
		}
		capacityFraction := s.SlowStartFraction + (1-s.SlowStartFraction)*(from-20)/s.SlowStartSeconds
		if budget := s.SlowStartMultiple * capacityFraction * capacity * s.SlowStartWindowSeconds; float64(n) > 1.15*budget {
			t.Fatalf("%d sends in the window from %.2f s, budget %.0f", n, from, budget)
		}
	}
}

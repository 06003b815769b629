package policy

import (
	"fmt"
	"slices"
	"testing"
)

func TestDrainWithdrawsHost(t *testing.T) {
	for _, c := range []struct {
		name       string
		goneUsable bool
		list       ListKind
		ok         bool
	}{
		{"gone withdraws", false, ListFull, false},
		{"gone hosts are usable", true, ListFull, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := baseSettings()
			s.GoneHostsUsable = c.goneUsable
			r := newRecorder(t, s)
			r.updateHosts(ListFull, readyHosts(1)...)
			r.updateHosts(c.list)
			r.advance(5)
			q := r.request(Request{ID: 1, Deadline: 6})
			if sent := len(q.attempts) == 1; sent != c.ok {
				t.Errorf("request sent to a gone host: %v", sent)
			}
		})
	}
	t.Run("draining stays in force after gone", func(t *testing.T) {
		s := baseSettings()
		s.GoneHostsUsable = true
		r := newRecorder(t, s)
		r.updateHosts(ListFull, readyHosts(1)...)
		r.updateHosts(ListDelta, HostInfo{ID: 1, State: Draining})
		r.updateHosts(ListFull)
		r.advance(5)
		if q := r.request(Request{ID: 1, Deadline: 6}); len(q.attempts) != 0 {
			t.Error("sent to a draining host")
		}
	})
}

func TestListIsRequestedAgainAfterFailure(t *testing.T) {
	s := baseSettings()
	s.ListOnDemand = true
	r := newRecorder(t, s)
	r.updateHosts(ListCached, readyHosts(1)...)
	r.advance(1)
	if r.watches != 1 {
		t.Fatalf("%d list requests after the start", r.watches)
	}
	r.updateHosts(ListFailed)
	r.advance(4)
	if r.watches != 2 {
		t.Fatalf("%d list requests after a failure", r.watches)
	}
	r.updateHosts(ListDelta)
	r.advance(30)
	if r.watches != 2 {
		t.Errorf("%d list requests while subscribed", r.watches)
	}
}

func TestUnansweredListRequestIsRepeated(t *testing.T) {
	s := baseSettings()
	s.ListOnDemand = true
	r := newRecorder(t, s)
	r.updateHosts(ListCached, readyHosts(1)...)
	r.advance(s.MaxListRequestGapSeconds)
	if r.watches < 2 {
		t.Errorf("%d list requests in the time after which a proxy counts as notified", r.watches)
	}
}

// All watches of a fleet break at once and no list request succeeds. Replica indices come either from the settings or from
// SetReplica. List requests must be repeated soon enough, since a change that was missed by a failed request counts as delivered
// 6 s after the discovery service is reachable again, and with a longer backoff proxies would send to draining hosts. They must
// also be spread, since simultaneous requests would keep the discovery service overloaded.
func TestListRetriesAreSpreadOverProxies(t *testing.T) {
	for _, proxies := range []int{1, 5, 60, 300} {
		for _, viaSetReplica := range []bool{false, true} {
			var first []float64
			for self := range proxies {
				s := baseSettings()
				s.ListOnDemand = true
				if !viaSetReplica {
					s.Self, s.Replicas = self, proxies
				}
				r := newRecorder(t, s)
				r.updateHosts(ListFull, readyHosts(1)...)
				if viaSetReplica { // the settings have a single replica
					r.balancer.SetReplica(0, self, proxies)
				}
				for failed := range 6 {
					r.updateHosts(ListFailed)
					was, began := r.watches, r.now
					if r.advance(r.now + maxListBackoffSeconds + s.TickSeconds); r.watches == was {
						t.Fatalf("%d proxies: replica %d has not requested the list within %v s after %d failures", proxies, self, maxListBackoffSeconds, failed)
					}
					if failed == 0 {
						first = append(first, r.lastWatchAt-began)
					}
				}
			}
			slices.Sort(first)
			for i := range len(first) - 1 {
				if gap := first[i+1] - first[i]; gap > 3*initialListBackoffSeconds/float64(proxies) {
					t.Errorf("%d proxies: no request for %.2f s between the first ones", proxies, gap)
				}
			}
		}
	}
}

// A process whose first list request fails before it knows the other replicas computes its backoff from the configured number of
// replicas. SetReplica must shorten the backoff if the slot of the new index comes sooner.
func TestSetReplicaShortensListBackoff(t *testing.T) {
	s := baseSettings()
	s.ListOnDemand, s.Replicas = true, 300
	r := newRecorder(t, s)
	r.updateHosts(ListCached, readyHosts(1)...)
	for range 3 {
		r.updateHosts(ListFailed)
	}
	r.balancer.SetReplica(r.now, 299, 300)
	was := r.watches
	if r.advance(r.now + maxListBackoffSeconds + s.TickSeconds); r.watches == was {
		t.Errorf("no list request within %v s", maxListBackoffSeconds)
	}
}

// Hosts that are gone are forgotten, over many complete replacements of the fleet.
func TestDepartedHostsAreForgotten(t *testing.T) {
	for _, goneUsable := range []bool{false, true} {
		s := baseSettings()
		s.ProbesEnabled, s.GoneHostsUsable, s.Replicas = true, goneUsable, 100
		r := newRecorder(t, s)
		for g := range 60 {
			list := manyHosts(40)
			for i := range list {
				list[i].ID += uint32(g * 40)
			}
			r.updateHosts(ListFull, list...)
			until := r.now + 10
			for r.now < until { // hosts that are gone do not answer
				r.advance(r.now + 0.1)
				out := r.probes
				r.probes = nil
				for _, p := range out {
					if p.host > uint32(g*40) {
						r.balancer.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: 0.01})
					}
				}
			}
		}
		if n := len(r.balancer.sortedHosts); n > 400 || n != len(r.balancer.hosts) {
			t.Errorf("gone hosts usable: %v: %d hosts known, %d by id", goneUsable, n, len(r.balancer.hosts))
		}
	}
}

// A host that is listed as gone gets traffic only if GoneHostsUsable is set and while it answers. A draining host gets none.
func TestTrafficToGoneHosts(t *testing.T) {
	for _, c := range []struct {
		goneUsable, answers bool
		state               HostState
		want                bool
	}{
		{true, true, Gone, true}, {true, false, Gone, false}, {false, true, Gone, false},
		{true, true, Draining, false}, {false, true, Draining, false},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			s := baseSettings()
			s.ProbesEnabled, s.GoneHostsUsable = true, c.goneUsable
			r := newRecorder(t, s)
			list := manyHosts(6)
			r.updateHosts(ListFull, list...)
			got, id := false, uint32(0)
			for r.now < 40 {
				r.advance(r.now + 0.02)
				out := r.probes
				r.probes = nil
				for _, p := range out {
					if c.answers || p.host > 3 || r.now < 10 {
						r.balancer.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: r.now - p.sentAt})
					}
				}
				if r.now >= 10 && r.now < 10.02 {
					for i := range 3 {
						list[i].State = c.state
					}
					r.updateHosts(ListDelta, list[:3]...)
				}
				id++
				r.request(Request{ID: id, Deadline: r.now + 0.6})
				for _, k := range r.ids[max(0, len(r.ids)-30):] {
					if q := r.requests[k]; q.answer == "" && len(q.attempts) > 0 {
						got = got || r.now > 20 && q.attempts[0].host <= 3
						r.finish(q, 0, OK)
					}
				}
			}
			if got != c.want {
				t.Errorf("traffic after it was listed: %v, want %v", got, c.want)
			}
		})
	}
}

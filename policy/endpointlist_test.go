package policy

import (
	"fmt"
	"slices"
	"testing"
)

func TestDrainIsKept(t *testing.T) {
	for _, c := range []struct {
		name string
		soft bool
		list ListKind
		ok   bool
	}{
		{"gone binds", false, ListFull, false},
		{"only draining binds", true, ListFull, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plain()
			s.GoneHostsUsable = c.soft
			r := newRecorder(t, s)
			r.list(ListFull, ready(1)...)
			r.list(c.list)
			r.advance(5)
			q := r.request(Request{ID: 1, Deadline: 6})
			if sent := len(q.sends) == 1; sent != c.ok {
				t.Errorf("sent: %v", sent)
			}
		})
	}
	t.Run("draining binds also after it is gone", func(t *testing.T) {
		s := plain()
		s.GoneHostsUsable = true
		r := newRecorder(t, s)
		r.list(ListFull, ready(1)...)
		r.list(ListDelta, HostInfo{ID: 1, State: Draining})
		r.list(ListFull)
		r.advance(5)
		if q := r.request(Request{ID: 1, Deadline: 6}); len(q.sends) != 0 {
			t.Error("sent to a host that was told to drain")
		}
	})
}

func TestListIsAskedForAgainAfterAFailure(t *testing.T) {
	s := plain()
	s.ListOnDemand = true
	r := newRecorder(t, s)
	r.list(ListCached, ready(1)...)
	r.advance(1)
	if r.watches != 1 {
		t.Fatalf("%d calls after the start", r.watches)
	}
	r.list(ListFailed)
	r.advance(4)
	if r.watches != 2 {
		t.Fatalf("%d calls after a failure", r.watches)
	}
	r.list(ListDelta)
	r.advance(30)
	if r.watches != 2 {
		t.Errorf("%d calls while subscribed", r.watches)
	}
}

func TestUnansweredCallIsRepeatedInTime(t *testing.T) {
	s := plain()
	s.ListOnDemand = true
	r := newRecorder(t, s)
	r.list(ListCached, ready(1)...)
	r.advance(s.MaxListRequestGapSeconds)
	if r.watches < 2 {
		t.Errorf("%d calls in the time after which an instance counts as told", r.watches)
	}
}

// All watches of a fleet break at once and no call gets through, whether proxies know their numbers from the settings or from each
// other. Danger: what a failed call missed counts as told 6 s after discovery could be reached, so who waits longer sends to hosts
// that drain; and calls that come together are what keeps discovery from answering any.
func TestFailedCallsGoInTurns(t *testing.T) {
	for _, proxies := range []int{1, 5, 60, 300} {
		for _, placed := range []bool{false, true} {
			var first []float64
			for self := range proxies {
				s := plain()
				s.ListOnDemand = true
				if !placed {
					s.Self, s.Replicas = self, proxies
				}
				r := newRecorder(t, s)
				r.list(ListFull, ready(1)...)
				if placed { // and each was told by the settings that it is the only one
					r.b.SetReplica(0, self, proxies)
				}
				for failed := range 6 {
					r.list(ListFailed)
					was, began := r.watches, r.now
					if r.advance(r.now + maxListBackoffSeconds + s.TickSeconds); r.watches == was {
						t.Fatalf("%d proxies: number %d has not called within %v s after %d calls that failed", proxies, self, maxListBackoffSeconds, failed)
					}
					if failed == 0 {
						first = append(first, r.askedAt-began)
					}
				}
			}
			slices.Sort(first)
			for i := range len(first) - 1 {
				if gap := first[i+1] - first[i]; gap > 3*initialListBackoffSeconds/float64(proxies) {
					t.Errorf("%d proxies: no call for %.2f s between the first ones", proxies, gap)
				}
			}
		}
	}
}

// Danger: a process whose first call failed before it knew the others waits by a number that the settings made up.
func TestPlaceEndsALongWait(t *testing.T) {
	s := plain()
	s.ListOnDemand, s.Replicas = true, 300
	r := newRecorder(t, s)
	r.list(ListCached, ready(1)...)
	for range 3 {
		r.list(ListFailed)
	}
	r.b.SetReplica(r.now, 299, 300)
	was := r.watches
	if r.advance(r.now + maxListBackoffSeconds + s.TickSeconds); r.watches == was {
		t.Errorf("no call within %v s", maxListBackoffSeconds)
	}
}

// Hosts that left are forgotten over many generations.
func TestDepartedHostsAreForgotten(t *testing.T) {
	for _, soft := range []bool{false, true} {
		s := plain()
		s.ProbesEnabled, s.GoneHostsUsable, s.Replicas = true, soft, 100
		r := newRecorder(t, s)
		for g := range 60 {
			list := fleet(40)
			for i := range list {
				list[i].ID += uint32(g * 40)
			}
			r.list(ListFull, list...)
			until := r.now + 10
			for r.now < until { // what left is dead
				r.advance(r.now + 0.1)
				out := r.probes
				r.probes = nil
				for _, p := range out {
					if p.host > uint32(g*40) {
						r.b.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: 0.01})
					}
				}
			}
		}
		if n := len(r.b.sortedHosts); n > 400 || n != len(r.b.hosts) {
			t.Errorf("only draining binds: %v: %d hosts known, %d by id", soft, n, len(r.b.hosts))
		}
	}
}

// What a host that is listed gone may get: nothing where gone binds or it is silent, traffic while it answers.
func TestListedGone(t *testing.T) {
	for _, c := range []struct {
		soft, answers bool
		state         HostState
		want          bool
	}{
		{true, true, Gone, true}, {true, false, Gone, false}, {false, true, Gone, false},
		{true, true, Draining, false}, {false, true, Draining, false},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			s := plain()
			s.ProbesEnabled, s.GoneHostsUsable = true, c.soft
			r := newRecorder(t, s)
			list := fleet(6)
			r.list(ListFull, list...)
			got, id := false, uint32(0)
			for r.now < 40 {
				r.advance(r.now + 0.02)
				out := r.probes
				r.probes = nil
				for _, p := range out {
					if c.answers || p.host > 3 || r.now < 10 {
						r.b.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: r.now - p.at})
					}
				}
				if r.now >= 10 && r.now < 10.02 {
					for i := range 3 {
						list[i].State = c.state
					}
					r.list(ListDelta, list[:3]...)
				}
				id++
				r.request(Request{ID: id, Deadline: r.now + 0.6})
				for _, k := range r.ids[max(0, len(r.ids)-30):] {
					if q := r.requests[k]; q.ended == "" && len(q.sends) > 0 {
						got = got || r.now > 20 && q.sends[0].host <= 3
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

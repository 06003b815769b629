package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet hosts: ids from 1.
func fleet(n int) []HostInfo {
	list := make([]HostInfo, n)
	for i := range list {
		list[i] = HostInfo{ID: uint32(i + 1), Cell: i / 4, State: Ready}
	}
	return list
}

// silentActions counts sends and probes for each host, and advances nothing.
type silentActions struct {
	sent, probed map[uint32]int
	last         uint32
	wakes        []float64
	now          *float64
}

func newSilent(now *float64) *silentActions {
	return &silentActions{sent: map[uint32]int{}, probed: map[uint32]int{}, now: now}
}

func (a *silentActions) Send(_, host uint32)     { a.sent[host]++; a.last = host }
func (a *silentActions) Cancel(uint32, int)      {}
func (a *silentActions) Probe(host uint32)       { a.probed[host]++ }
func (a *silentActions) CloseIdle(uint32)        {}
func (a *silentActions) Refuse(uint32, float64)  { a.last = 0 }
func (a *silentActions) Fail(uint32)             { a.last = 0 }
func (a *silentActions) WakeAfter(after float64) { a.wakes = append(a.wakes, *a.now+after) }
func (a *silentActions) Watch()                  {}
func (a *silentActions) Log(string)              {}

// A thousand proxies, each with little traffic, must not push a cold host over by one request each.
func TestThousandProxiesKeepTheColdBudget(t *testing.T) {
	const proxies, hosts, capacity = 1000, 150, 14.0 // requests a second that a warm host can do
	s := plain()
	s.Replicas = proxies
	rng := rand.New(rand.NewPCG(5, 5))
	now := 0.0
	balancers, acts := make([]*Balancer, proxies), make([]*silentActions, proxies)
	for i := range balancers {
		s.Self = i
		acts[i] = newSilent(&now)
		balancers[i] = New(s, uint64(i), acts[i])
		balancers[i].UpdateHosts(0, ListFull, fleet(hosts))
	}
	cold := fleet(hosts)
	for i := range cold {
		cold[i].Started = 20
	}
	var at []float64 // of sends to one of the cold hosts
	id, step := uint32(0), 0.0007
	for now = 0.001; now < 26; now += step { // about 1,430 requests a second, two thirds of what the fleet can do
		if now >= 20 && step == 0.0007 { // all hosts restart and clients storm them
			step = 0.0003
			for _, b := range balancers {
				b.UpdateHosts(now, ListFull, cold)
			}
		}
		i := rng.IntN(proxies)
		id++
		before := acts[i].sent[72]
		balancers[i].StartRequest(now, Request{ID: id, Deadline: now + 0.6})
		if host := acts[i].last; host > 0 {
			balancers[i].AttemptDone(now+0.0005, Result{ID: id, Host: host, Outcome: OK, DelaySeconds: 0.05, Final: true})
		}
		if acts[i].sent[72] > before && now >= 20 {
			at = append(at, now)
		}
	}
	if len(at) < 5 {
		t.Errorf("a cold host gets %d requests in 6 s", len(at))
	}
	for i, from := range at {
		n := 0
		for _, x := range at[i:] {
			if x <= from+s.SlowStartWindowSeconds {
				n++
			}
		}
		strength := s.SlowStartFraction + (1-s.SlowStartFraction)*(from-20)/s.SlowStartSeconds
		if budget := s.SlowStartMultiple * strength * capacity * s.SlowStartWindowSeconds; float64(n) > 1.15*budget {
			t.Fatalf("%d sends in the window from %.2f, budget %.0f", n, from, budget)
		}
	}
}

// Probes and members follow from hosts, proxies and own traffic.
func TestProbesFollowOwnTraffic(t *testing.T) {
	for _, c := range []struct {
		hosts, proxies int
		rate           float64 // requests a second
		low, high      float64 // probes a second
	}{{160, 1000, 1, 0.8, 4}, {160, 1000, 0, 0, 2}, {12, 4, 25, 10, 14}, {160, 1000, 100, 40, 90}} {
		s := plain()
		s.ProbesEnabled, s.Replicas = true, c.proxies
		r := newRecorder(t, s)
		r.list(ListFull, fleet(c.hosts)...)
		probes, id := 0, uint32(0)
		for r.now < 60 {
			r.advance(r.now + 0.01)
			if r.now > 30 {
				probes += len(r.probes)
			}
			r.answer(OK, nil)
			for float64(id) < r.now*c.rate {
				id++
				if q := r.request(Request{ID: id, Deadline: r.now + 0.6}); len(q.sends) > 0 {
					r.finish(q, 0, OK)
				}
			}
		}
		if rate := float64(probes) / 30; rate < c.low || rate > c.high {
			t.Errorf("%d hosts, %d proxies, %v requests a second: %.1f probes a second", c.hosts, c.proxies, c.rate, rate)
		}
	}
}

// A change of the cadence is no silence: a sound host's phi stays low through it.
func TestCadenceMayChange(t *testing.T) {
	s := plain()
	s.ProbesEnabled, s.Replicas = true, 1000
	r := newRecorder(t, s)
	r.list(ListFull, fleet(160)...)
	id := uint32(0)
	for r.now < 120 {
		r.advance(r.now + 0.005)
		r.answer(OK, nil)
		if int(r.now/20)%2 == 1 && int(r.now*200)%2 == 0 {
			id++
			if q := r.request(Request{ID: id, Deadline: r.now + 0.6}); len(q.sends) > 0 {
				r.finish(q, 0, OK)
			}
		}
		for _, h := range r.b.members {
			r.b.now = r.now
			if phi := r.b.silencePhi(h); phi > phiUnavailable {
				t.Fatalf("%.2f: phi %.1f of a sound host", r.now, phi)
			}
		}
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

// A deep probe that comes back late, or not at all, tells a line where reports are absent.
func TestLateProbesTellALine(t *testing.T) {
	for _, c := range []struct {
		how   Outcome
		delay float64
		sent  bool
	}{{OK, 0.004, true}, {OK, 0.25, false}, {TimedOut, 0.25, false}} {
		s := plain()
		s.ProbesEnabled = true
		r := newRecorder(t, s)
		r.list(ListFull, fleet(3)...)
		for r.now < 10 {
			r.advance(r.now + 0.004)
			r.answer(OK, nil)
		}
		for until := r.now + 8; r.now < until; {
			r.advance(r.now + 0.001)
			keep := r.probes[:0]
			for _, p := range r.probes {
				if r.now-p.at >= c.delay {
					r.b.ProbeDone(r.now, Result{Host: p.host, Outcome: c.how, DelaySeconds: r.now - p.at})
				} else {
					keep = append(keep, p)
				}
			}
			r.probes = keep
		}
		if q := r.request(Request{ID: 1, Deadline: r.now + 1}); (len(q.sends) > 0) != c.sent {
			t.Errorf("probes end with %v after %v: sent %v, want %v", c.how, c.delay, len(q.sends) > 0, c.sent)
		}
	}
}

// Where a thousand proxies share few hosts, bad answers bring the limits of all together to a short line.
func TestLimitsOfManyProxiesAddUp(t *testing.T) {
	s := plain()
	s.Replicas = 1000
	r := newRecorder(t, s)
	r.list(ListFull, fleet(100)...)
	for i := range uint32(400) {
		r.advance(r.now + 0.1)
		r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		for _, id := range r.ids[max(0, len(r.ids)-12):] {
			if q := r.requests[id]; len(q.sends) == 1 && q.ended == "" && r.now-q.sends[0].at > 0.25 {
				r.finish(q, 0, OK)
			}
		}
	}
	for _, h := range r.b.members {
		if all := h.concurrencyLimit * r.b.proxiesPerHost; all > 20 {
			t.Errorf("host %d: all proxies together may have %.0f requests out", h.ID, all)
		}
	}
}

// Idle connections that are dropped unseen: after a loss or two, they are closed before a send, and no host is
// blamed.
func TestIdleConnectionsDroppedUnseen(t *testing.T) {
	for _, c := range []struct {
		name   string
		how    Outcome
		pause  float64
		closes bool
	}{{"reset", Reset, 2, true}, {"silence", TimedOut, 2, true}, {"answered", OK, 2, false}} {
		s := plain()
		s.ConnIdleTimeoutSeconds = 15
		r := newRecorder(t, s)
		r.list(ListFull, fleet(3)...)
		id, closed := uint32(0), 0
		ask := func(how Outcome) {
			r.advance(r.now + c.pause)
			id++
			q := r.request(Request{ID: id, Class: 2, Deadline: r.now + 0.5})
			if len(q.sends) == 0 {
				return
			}
			if n := len(r.closed); n > closed {
				closed, how = n, OK // a new connection works
			}
			if how == TimedOut {
				r.advance(q.Deadline)
			}
			r.finish(q, 0, how)
		}
		for range 12 {
			ask(OK)
		}
		for range 8 {
			ask(c.how)
		}
		if got := closed > 0; got != c.closes {
			t.Errorf("%s: idle connections closed %d times", c.name, closed)
		}
		if got := len(r.logs) == 1; got != c.closes {
			t.Errorf("%s: log lines %q", c.name, r.logs)
		}
	}
}

// A request that brings its host down is not sent again, nor are its client's marked repeats.
func TestWhatCrashesHostsIsNotResent(t *testing.T) {
	for _, c := range []struct {
		name   string
		how    Outcome
		after  float64 // how long the attempt was out
		second Request // the next try
		sent   bool
	}{
		{"crash, its repeat", Reset, 0.1, Request{Tenant: 1, Repeat: true}, false},
		{"hang, its repeat", TimedOut, 0.5, Request{Tenant: 1, Repeat: true}, false},
		{"crash, another customer's repeat", Reset, 0.1, Request{Tenant: 0, Repeat: true}, true},
		{"crash, a new request", Reset, 0.1, Request{Tenant: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plain()
			s.Tenants = []Tenant{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.5}}
			r := newRecorder(t, s)
			r.list(ListFull, fleet(4)...)
			q := r.request(Request{ID: 1, Tenant: 1, Deadline: 0.5})
			r.advance(c.after)
			r.finish(q, 0, c.how)
			if len(q.sends) != 1 || q.ended != "refused" {
				t.Fatalf("%d sends, %q", len(q.sends), q.ended)
			}
			c.second.ID, c.second.Deadline = 2, r.now+0.5
			if k := r.request(c.second); len(k.sends) > 0 != c.sent {
				t.Errorf("next try: %d sends, %q", len(k.sends), k.ended)
			}
		})
	}
}

// A quick reset on an idle connection is tried again only where its host proves to be alive.
func TestQuickResetAsksTheHostFirst(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := polled()
		s.ConnIdleTimeoutSeconds = 15
		r := newRecorder(t, s)
		r.list(ListFull, fleet(4)...)
		ask := func(id uint32, dead uint32) {
			for until := r.now + 0.02; r.now < until; {
				out := r.probes
				r.probes = nil
				for _, p := range out {
					if p.host != dead {
						r.b.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: r.now - p.at, Report: Report{N: 1}})
					}
				}
				r.advance(r.now + 0.001)
			}
		}
		for id := range uint32(20) {
			q := r.request(Request{ID: 1 + id, Deadline: r.now + 0.6})
			ask(id, 0)
			if len(q.sends) > 0 {
				r.finish(q, 0, OK)
			}
			r.advance(r.now + 0.3)
		}
		q := r.request(Request{ID: 99, Deadline: r.now + 0.6})
		ask(99, 0)
		if len(q.sends) != 1 {
			t.Fatal("not sent")
		}
		q.sends[0].at = r.now
		dead := q.sends[0].host
		q.sends[0].done, q.sends[0].outcome = true, Reset
		r.b.AttemptDone(r.now, Result{ID: 99, Host: dead, Outcome: Reset, DelaySeconds: 0.001})
		if alive {
			dead = 0
		}
		ask(99, dead)
		if again := len(q.sends) == 2; again != alive {
			t.Errorf("host alive: %v, sent again: %v, %q", alive, again, q.ended)
		}
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

// Requests that fail at any host do not condemn hosts; errors of one host do.
func TestErrorsEverywhereAccuseNoHost(t *testing.T) {
	ratio := func(bad func(id, host uint32) bool) (worst float64) {
		r := newRecorder(t, plain())
		r.list(ListFull, fleet(6)...)
		for id := range uint32(600) {
			r.advance(r.now + 0.02)
			q := r.request(Request{ID: 1 + id, Class: 2, Deadline: r.now + 0.6})
			if len(q.sends) == 0 {
				continue
			}
			how := OK
			if bad(id, q.sends[0].host) {
				how = HostError
			}
			r.finish(q, 0, how)
			for _, h := range r.b.members {
				if id > 300 {
					worst = max(worst, r.b.slowdown(h))
				}
			}
		}
		return worst
	}
	everywhere := ratio(func(id, _ uint32) bool { return id%3 == 0 })
	one := ratio(func(_, host uint32) bool { return host == 2 })
	if everywhere > 1.4 || one < 1.15 {
		t.Errorf("worst slowness with errors everywhere %.2f, at one host %.2f", everywhere, one)
	}
}

// Odd fleets: whatever the list and the counts say, each request gets its answer and the rules are kept.
func TestOddFleets(t *testing.T) {
	twice := append(fleet(5), fleet(5)...)
	for name, c := range map[string]struct {
		first, then    []HostInfo
		self, replicas int
		answers        bool
		served         bool
	}{
		"nobody answers":               {fleet(20), fleet(20), 3, 100, false, true},
		"empty at the start":           {nil, nil, 0, 1, true, false},
		"empty, then right":            {nil, fleet(6), 0, 1, true, true},
		"all gone while they answer":   {fleet(12), nil, 0, 1, true, true},
		"every host listed twice":      {twice, twice, 0, 4, true, true},
		"no proxies, by the settings":  {fleet(9), fleet(9), -5, 0, true, true},
		"a number beyond the replicas": {fleet(9), fleet(9), 400, 3, true, true},
		"thousands of hosts":           {fleet(5000), fleet(5000), 7, 900, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := plain()
			s.ProbesEnabled, s.GoneHostsUsable, s.Self, s.Replicas = true, true, c.self, c.replicas
			s.Tenants = []Tenant{{Name: "a", Share: 1}}
			r := newRecorder(t, s)
			r.list(ListCached, c.first...)
			served := 0
			for id := range uint32(400) {
				r.advance(r.now + 0.05)
				if id == 200 {
					r.list(ListFull, c.then...)
				}
				if c.answers {
					r.answer(OK, nil)
				}
				r.probes = nil
				q := r.request(Request{ID: 1 + id, Class: int(id % 3), Tenant: int(id%5) - 1, Deadline: r.now + 0.6})
				r.advance(r.now + 0.1) // longer than anything is held
				if len(q.sends) > 0 && q.ended == "" {
					r.finish(q, 0, OK)
					served++
				}
			}
			if (served > 100) != c.served {
				t.Errorf("%d of 400 requests sent", served)
			}
		})
	}
}

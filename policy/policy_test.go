package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// plain are settings with one class of each effect, no probes and no reports.
func plain() Settings {
	return Settings{
		Classes: []Class{
			{Name: "safe", Effect: Safe, LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1, PriorityWeight: 1},
			{Name: "keyed", Effect: Keyed, Group: GroupCell, DedupWindowSeconds: 0.2, LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1, PriorityWeight: 1},
			{Name: "unsafe", Effect: Unsafe, LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1, PriorityWeight: 1},
		},
		Replicas: 1, TickSeconds: 0.001, MaxAttempts: 3, CanCancel: true, HedgingAllowed: true, MaxRetryAfterSeconds: 2,
		DrainGraceSeconds: 0.25, SlowStartFraction: 0.3, SlowStartSeconds: 8, SlowStartMultiple: 3, SlowStartWindowSeconds: 2, MaxListRequestGapSeconds: 10,
	}
}

// polled are settings where load reports come with probe answers alone.
func polled() Settings {
	s := plain()
	s.ProbesEnabled, s.ReportsOnProbe, s.ReportFields = true, true, []ReportField{FieldInflight}
	return s
}

func ready(ids ...uint32) []HostInfo {
	var list []HostInfo
	for _, id := range ids {
		list = append(list, HostInfo{ID: id, Cell: int(id) / 10, State: Ready})
	}
	return list
}

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
			t.Errorf("%d hosts, %d proxies: between %d and %d proxies a host", c.hosts, c.proxies, low, high)
		}
	}
	if from, size := Subset(0, 2, 0, 6); from != 0 || size != 0 {
		t.Errorf("empty ring: %d, %d", from, size)
	}
}

// A subset that is mostly cold could not carry its load, so it goes on until enough of it is warm.
func TestSubsetHoldsEnoughWarmHosts(t *testing.T) {
	s := plain()
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
	r.list(ListFull, hosts...)
	warm := 0
	for _, h := range r.b.members {
		if h.Started == 0 {
			warm++
		}
	}
	if warm < 18 {
		t.Errorf("%d of %d members are warm", warm, len(r.b.members))
	}
}

func TestPhiKnownValues(t *testing.T) {
	for _, c := range []struct{ silence, want float64 }{
		{1, 0.30103}, {1.1, 0.79955}, {1.3, 2.86970}, {1.5612, 8.0}, {3, 88.5601},
	} {
		if got := Phi(c.silence, 1, 0.1); math.Abs(got-c.want) > 0.002*c.want+0.001 {
			t.Errorf("phi after %v: %v, want %v", c.silence, got, c.want)
		}
	}
	last := 0.0
	for d := 1.0; d < 100; d += 0.05 {
		phi := Phi(d, 1, 0.1)
		if phi <= last || math.IsInf(phi, 0) {
			t.Fatalf("phi after %v is %v, before it %v", d, phi, last)
		}
		last = phi
	}
}

func TestAgainOnlyAsTheClassAllows(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		how   Outcome
		after float64
		sends int
		ended string
	}{
		{"safe, error", 0, HostError, 0.02, 2, ""},
		{"safe, rejected", 0, Rejected, 0.02, 2, ""},
		{"keyed, error, in its window", 1, HostError, 0.02, 2, ""},
		{"keyed, error, after its window", 1, HostError, 0.25, 1, "failed"},
		{"unsafe, error", 2, HostError, 0.02, 1, "failed"},
		{"unsafe, reset", 2, Reset, 0.02, 1, "failed"},
		{"unsafe, cancelled", 2, Cancelled, 0.02, 1, "failed"},
		{"unsafe, no connection", 2, ConnectFailed, 0.02, 2, ""},
		{"unsafe, rejected", 2, Rejected, 0.02, 2, ""},
		{"unsafe, rejected too late to be of use", 2, Rejected, 0.9, 1, "refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plain()
			s.HedgingAllowed = false
			r := newRecorder(t, s)
			r.list(ListFull, ready(1, 2, 11, 12)...)
			q := r.request(Request{ID: 1, Class: c.class, Deadline: 1})
			r.advance(c.after)
			r.finish(q, 0, c.how)
			r.advance(c.after + 0.002)
			if len(q.sends) != c.sends || q.ended != c.ended {
				t.Errorf("%d sends, %q; want %d, %q", len(q.sends), q.ended, c.sends, c.ended)
			}
		})
	}
}

func TestTimeOutAtTheDeadlineIsAnswered(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1)...)
	q := r.request(Request{ID: 1, Class: 2, Deadline: 0.6})
	r.advance(0.6)
	r.finish(q, 0, TimedOut)
	if q.ended != "failed" {
		t.Errorf("ended %q", q.ended)
	}
}

func TestLateOutcomesOfAnEndedRequest(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2, 3)...)
	q := r.request(Request{ID: 1, Class: 0, Deadline: 1})
	r.advance(0.29)
	if len(q.sends) != 1 {
		t.Fatalf("copies of a request that is only slow: %+v", q.sends)
	}
	r.b.Abandoned(r.now, q.ID)
	q.ended = "abandoned"
	if !q.sends[0].cancel {
		t.Error("the attempt of a departed client was not cancelled")
	}
	r.advance(0.4)
	r.finish(q, 0, OK)
	r.b.Abandoned(r.now, q.ID)
}

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

func TestColdHostIsRampedUp(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2, 3, 4)...)
	id, cold := uint32(0), map[int]int{}
	for step := range 3000 { // 100 requests a second, each served in 80 ms
		at := float64(step) * 0.01
		r.advance(at)
		if step == 1000 {
			r.list(ListDelta, HostInfo{ID: 1, State: Ready, Started: at})
		}
		id++
		q := r.request(Request{ID: id, Deadline: at + 1})
		if len(q.sends) == 1 && q.sends[0].host == 1 && step >= 1000 {
			cold[(step-1000)/200]++
		}
		if old := r.requests[id-8]; old != nil && old.ended == "" {
			r.finish(old, 0, OK)
		}
	}
	// A warm host takes about 50 in 2 s; the cold one may get part of it, later all of it.
	if cold[0] < 1 || cold[0] > 30 || cold[8] < 30 {
		t.Errorf("sends to the cold host in each 2 s: %v", cold)
	}
}

func TestGapOfAnOutageIsNotLearned(t *testing.T) {
	s := plain()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.b.sendRate.rate = 1e6 // so much traffic keeps the cadence at its shortest
	r.list(ListFull, ready(1, 2, 3)...)
	run := func(until float64, silent uint32) {
		for r.now < until {
			r.advance(r.now + 0.01)
			out := r.probes
			r.probes = nil
			for _, p := range out {
				if p.host != silent {
					r.b.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: r.now - p.at})
				}
			}
		}
	}
	run(20, 0)
	h := r.b.hosts[1]
	r.b.now = r.now
	if phi := r.b.silencePhi(h); phi > phiSuspect {
		t.Fatalf("phi of a sound host is %v", phi)
	}
	run(28, 1)
	r.b.now = r.now
	if phi := r.b.silencePhi(h); phi < phiUnavailable {
		t.Fatalf("phi after 8 s of silence is %v", phi)
	}
	for i := range uint32(20) {
		q := r.request(Request{ID: 100 + i, Deadline: r.now + 0.2})
		if len(q.sends) > 0 && q.sends[0].host == 1 {
			t.Fatal("sent to a host that is out")
		}
		r.finish(q, 0, OK)
	}
	run(31, 0)
	if r.b.capacityFraction(h) > 0.6 {
		t.Errorf("trusted in full at once: strength %v", r.b.capacityFraction(h))
	}
	run(34, 1)
	r.b.now = r.now
	if phi := r.b.silencePhi(h); phi < phiUnavailable {
		t.Errorf("the second outage is seen late: phi %v", phi)
	}
}

// Silence that the host program did not listen to says nothing of the hosts; silence beyond it does.
func TestStalled(t *testing.T) {
	s := plain()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.b.sendRate.rate = 1e6
	r.list(ListFull, ready(1, 2, 3)...)
	for r.now < 20 {
		r.advance(r.now + 0.01)
		r.answer(OK, nil)
	}
	for _, told := range []float64{10, 0} {
		r.now += 10
		if told > 0 {
			r.b.ObserveStall(r.now, told)
		}
		for _, h := range r.b.members {
			if r.b.now = r.now; (r.b.silencePhi(h) < phiSuspect) != (told > 0) {
				t.Fatalf("phi %v after 10 s of which %v s were told as a stall", r.b.silencePhi(h), told)
			}
		}
	}
}

func TestFirstAnswerIsNoGap(t *testing.T) {
	s := plain()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.list(ListFull, ready(1, 2, 3)...)
	for r.now < 5 {
		r.advance(r.now + 0.01)
		r.answer(OK, nil)
		for _, h := range r.b.members {
			r.b.now = r.now
			if phi := r.b.silencePhi(h); phi > phiSuspect {
				t.Fatalf("%.2f: phi %v of a sound host", r.now, phi)
			}
		}
	}
}

func TestSomeHostGetsTrafficWhenAllAreSilent(t *testing.T) {
	s := plain()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.list(ListFull, ready(1, 2, 3)...)
	r.advance(20)
	if q := r.request(Request{ID: 1, Deadline: 21}); len(q.sends) != 1 {
		t.Errorf("no send though a host is listed: ended %q", q.ended)
	}
}

func TestLeastLoadedByFreshReports(t *testing.T) {
	r := newRecorder(t, polled())
	r.list(ListFull, ready(1, 2, 3)...)
	for r.now < 2 {
		r.advance(r.now + 0.001)
		r.answer(OK, nil)
	}
	q := r.request(Request{ID: 1, Deadline: 3})
	if len(q.sends) != 0 {
		t.Fatal("sent before the reports came")
	}
	r.advance(r.now + 0.001)
	r.answer(OK, func(h uint32) float32 { return map[uint32]float32{1: 3, 2: 0, 3: 1}[h] })
	if len(q.sends) != 1 || q.sends[0].host != 2 {
		t.Errorf("sends %+v", q.sends)
	}
}

func TestOddInput(t *testing.T) {
	empty := newRecorder(t, Settings{})
	empty.request(Request{ID: 1, Deadline: 1})
	if empty.requests[1].ended != "refused" {
		t.Error("a request of an unknown class is not refused")
	}
	r := newRecorder(t, polled())
	r.list(ListCached)
	q := r.request(Request{ID: 1, Deadline: 0.5, Tenant: 9, WorkSeconds: math.NaN(), HasWork: true})
	r.b.AttemptDone(r.now, Result{ID: 77, Host: 5, Attempt: 3})
	r.b.ProbeDone(r.now, Result{Host: 5})
	r.b.Abandoned(r.now, 9)
	r.b.StreamStarted(r.now, 9)
	r.advance(2)
	if q.ended != "refused" {
		t.Errorf("without hosts: %q", q.ended)
	}
	r = newRecorder(t, polled())
	r.list(ListFull, ready(1, 2)...)
	for i, v := range []float32{-1, float32(math.NaN()), float32(math.Inf(1)), 1e30, 0} {
		r.advance(r.now + 1)
		q := r.request(Request{ID: uint32(10 + i), Deadline: r.now + 0.6})
		r.advance(r.now + 0.001)
		r.answer(OK, func(uint32) float32 { return v })
		r.advance(r.now + 0.1)
		if len(q.sends) == 0 {
			t.Errorf("report %v: no send, ended %q", v, q.ended)
			continue
		}
		r.finish(q, 0, OK)
	}
	r.advance(1e6)
	r.request(Request{ID: 99, Deadline: r.now + 0.5})
	r.advance(r.now + 0.4)
	r.b.Abandoned(r.now, 99)
}

// TestRandomEvents drives the module through seeded random events; the recorder checks the rules.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := plain()
		if seed%2 == 0 {
			s = polled()
		}
		s.HedgingAllowed, s.CanCancel = seed%3 != 0, seed%5 != 0
		s.GoneHostsUsable, s.MaxAttempts = seed%7 == 0, 1+int(seed%4)
		s.Classes[1].DedupWindowSeconds = 5 * rng.Float64()
		randomRun(newRecorder(t, s), rng)
	}
}

func randomRun(r *recorder, rng *rand.Rand) {
	outcomes := []Outcome{OK, OK, OK, HostError, Rejected, ConnectFailed, Reset, Cancelled}
	r.list(ListCached, ready(1, 2, 3, 11, 12, 13)...)
	for range 1500 {
		r.advance(r.now + 0.004*rng.Float64())
		for _, id := range r.ids { // the deadline ends what is still out
			q := r.requests[id]
			for n := range q.sends {
				if !q.sends[n].done && r.now >= q.Deadline-0.003 {
					r.advance(max(r.now, q.Deadline))
					r.finish(q, n, TimedOut)
				}
			}
		}
		switch k := rng.IntN(20); {
		case k < 6:
			id := uint32(len(r.ids) + 1)
			r.request(Request{ID: id, Class: rng.IntN(3), Deadline: r.now + 0.2 + 0.4*rng.Float64(),
				HasWork: rng.IntN(2) == 0, WorkSeconds: 0.1 * rng.Float64()})
		case k < 12:
			finishOne(r, rng, outcomes[rng.IntN(len(outcomes))])
		case k < 17:
			r.answer(OK, func(uint32) float32 { return float32(rng.IntN(6)) })
		case k == 17:
			r.answer(TimedOut, nil)
		default:
			id := []uint32{1, 2, 3, 11, 12, 13, 21}[rng.IntN(7)]
			h := HostInfo{ID: id, Cell: int(id) / 10, State: HostState(rng.IntN(3))}
			if rng.IntN(3) > 0 {
				h.State = Ready
			}
			if rng.IntN(4) == 0 {
				h.Started = r.now
			}
			r.list([]ListKind{ListDelta, ListDelta, ListDelta, ListFull}[rng.IntN(4)], h)
		}
	}
}

// finishOne ends one attempt that is out.
func finishOne(r *recorder, rng *rand.Rand, how Outcome) {
	from := rng.IntN(len(r.ids) + 1)
	for i := range r.ids {
		q := r.requests[r.ids[(from+i)%len(r.ids)]]
		for n := range q.sends {
			if !q.sends[n].done {
				r.finish(q, n, how)
				return
			}
		}
	}
}

func TestRefusedConnectionsShutAHostOut(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2)...)
	refused := 0
	for i := range uint32(7) { // what goes to the other host stays out, so that the dead one looks idle
		r.advance(float64(i) * 0.001)
		q := r.request(Request{ID: 1 + i, Class: 2, Deadline: 9})
		if q.sends[0].host == 1 {
			refused++
			r.finish(q, 0, ConnectFailed)
		}
	}
	if refused != 2 {
		t.Errorf("%d sends to a host that takes no connections, want 2", refused)
	}
	r.advance(4) // without probes the suspicion has to pass by itself
	for i := range uint32(30) {
		q := r.request(Request{ID: 100 + i, Deadline: r.now + 0.9})
		if len(q.sends) > 0 && q.sends[0].host == 1 {
			return
		}
	}
	t.Error("the host is never tried again")
}

// A host that turns everything away at once never holds a request, and so looks idle. It is tried now and then, and
// trusted again at its first answer.
func TestHostThatTurnsAwayIsLeftAlone(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2)...)
	play := func(first uint32, how Outcome) (tried int) {
		for i := range uint32(400) {
			r.advance(r.now + 0.01)
			q := r.request(Request{ID: first + i, Deadline: r.now + 0.9})
			for n := 0; n < len(q.sends); n++ { // a repeat follows within the call
				if q.sends[n].host == 2 {
					r.finish(q, n, OK)
				} else {
					tried++
					r.finish(q, n, how)
				}
			}
		}
		return tried
	}
	if n := play(1, Rejected); n < 3 || n > 12 {
		t.Errorf("%d of 400 requests go to a host that takes none, want a few", n)
	}
	if n := play(1000, OK); n < 80 {
		t.Errorf("%d of 400 requests go to it once it answers, want about half", n)
	}
}

// A host that fails one class is left to the others, whose answers tell nothing of that class.
func TestHostThatFailsOneClass(t *testing.T) {
	for _, bad := range []Outcome{Rejected, HostError} {
		r := newRecorder(t, plain())
		r.list(ListFull, ready(1)...)
		id := uint32(0)
		sends := func(class int, how Outcome) int {
			id++
			q := r.request(Request{ID: id, Class: class, Deadline: r.now + 0.9})
			for n := 0; n < len(q.sends); n++ {
				r.finish(q, n, how)
			}
			return len(q.sends)
		}
		sends(0, bad)
		if n := sends(0, bad); n != 0 {
			t.Errorf("%v: %d sends of the class that has just failed", bad, n)
		}
		if n := sends(2, OK); n != 1 {
			t.Errorf("%v: %d sends of another class", bad, n)
		}
		for range 30 { // what was held is tried again
			r.advance(r.now + 0.1)
			for _, q := range r.requests {
				for n := range q.sends {
					if !q.sends[n].done {
						r.finish(q, n, OK)
					}
				}
			}
		}
		if n := sends(0, OK); n != 1 {
			t.Errorf("%v: the host is not tried again", bad)
		}
	}
}

// A connection that breaks sooner than any work is done says nothing against its host, nor against the request.
func TestQuickResetIsOfTheConnection(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1)...)
	for i := range uint32(3) {
		q := r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		r.finish(q, 0, Reset)
		if len(q.sends) != 2 {
			t.Fatalf("request %d: %d sends, %q", i, len(q.sends), q.ended)
		}
		r.finish(q, 1, OK)
	}
	if h := r.b.hosts[1]; h.connFailures != 0 || h.latencyRatio > 1.1 {
		t.Errorf("the host is held to have failed %d times, ratio %v", h.connFailures, h.latencyRatio)
	}
}

// Crossing to another zone has its price: of hosts that do equally well the near one is taken, and the far one while
// the near one is busy.
func TestOwnZoneGoesFirst(t *testing.T) {
	s := plain()
	s.Zone, s.CrossZonePrice = 1, 0.06
	r := newRecorder(t, s)
	hosts := ready(1, 2)
	hosts[1].Zone = 1
	r.list(ListFull, hosts...)
	sent := map[uint32]int{}
	for i := range uint32(50) {
		r.advance(r.now + 0.02)
		q := r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		sent[q.sends[0].host]++
		r.finish(q, 0, OK)
	}
	if sent[2] < 45 {
		t.Errorf("%d of 50 requests stay in the zone", sent[2])
	}
	for i := range uint32(10) { // these stay out
		sent[r.request(Request{ID: 100 + i, Deadline: r.now + 0.9}).sends[0].host]++
	}
	if sent[1] < 2 {
		t.Errorf("%d requests go to the other zone while the near host is busy", sent[1])
	}
}

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

func TestEstimateThatRefusesEverythingFades(t *testing.T) {
	for name, s := range map[string]Settings{"no reports": plain(), "polled": polled()} {
		r := newRecorder(t, s)
		r.list(ListFull, ready(1, 2)...)
		for i := range r.b.classMeanSeconds {
			r.b.classMeanSeconds[i] = 10
		}
		r.b.serviceSeconds = 10
		served := 0
		for i := range uint32(400) {
			r.advance(r.now + 0.05)
			r.answer(OK, func(uint32) float32 { return 0 })
			r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
			r.advance(r.now + 0.001)
			r.answer(OK, func(uint32) float32 { return 0 })
			for _, id := range r.ids {
				if q := r.requests[id]; len(q.sends) > 0 && !q.sends[0].done {
					r.finish(q, 0, OK)
					served++
				}
			}
		}
		if served < 50 {
			t.Errorf("%s: %d of 400 requests served by idle hosts", name, served)
		}
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

func TestHeavyHintedRequests(t *testing.T) {
	for _, c := range []struct {
		work  float64 // the usual is 0.05, served in 0.075
		ended string
	}{{0.05, ""}, {0.23, ""}, {1.5, "refused"}} {
		r := newRecorder(t, polled())
		r.list(ListFull, ready(1, 2)...)
		for r.now < 2 {
			r.advance(r.now + 0.001)
			r.answer(OK, nil)
		}
		r.b.meanWorkSeconds, r.b.serviceSeconds = 0.05, 0.075
		q := r.request(Request{ID: 1, Deadline: r.now + 1, HasWork: true, WorkSeconds: c.work})
		r.advance(r.now + 0.001)
		r.answer(OK, func(uint32) float32 { return 0 })
		r.advance(r.now + 0.002)
		if q.ended != c.ended || (len(q.sends) == 1) != (c.ended == "") {
			t.Errorf("work of %v: %d sends, %q", c.work, len(q.sends), q.ended)
		}
	}
}

func TestWhatNobodyCanTakeIsAnsweredSoon(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1)...)
	for i := range uint32(40) { // all out, so that the only host is full
		r.request(Request{ID: 1 + i, Deadline: 1})
	}
	last := r.request(Request{ID: 99, Deadline: 1})
	r.advance(0.1)
	if last.ended != "refused" {
		t.Errorf("a request that nobody can take is %q after a third of its aim", last.ended)
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

// A killed instance starts with nothing: outcomes of its earlier life are not its own.
func TestRestartedInstanceIgnoresItsEarlierLife(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2)...)
	q := r.request(Request{ID: 1, Deadline: 1})
	again := newRecorder(t, plain())
	again.list(ListCached, ready(1, 2)...)
	again.b.AttemptDone(0.1, Result{ID: q.ID, Host: q.sends[0].host, Outcome: OK, DelaySeconds: 0.1, Final: true})
	again.b.Abandoned(0.1, q.ID)
	again.now = 0.1
	if k := again.request(Request{ID: 2, Deadline: 1}); len(k.sends) != 1 {
		t.Error("the new life does not send")
	}
}

func TestLimitsKeepLinesShort(t *testing.T) {
	for _, c := range []struct {
		delay     float64 // of an aim of 0.3
		low, high float64
	}{{0.03, 26, 200}, {0.12, 0, 8}} {
		r := newRecorder(t, plain())
		r.list(ListFull, ready(1)...)
		h := r.b.hosts[1]
		for i := range uint32(1500) {
			r.advance(r.now + 0.001)
			for _, id := range r.ids {
				q := r.requests[id]
				if n := len(q.sends); n > 0 && !q.sends[n-1].done && r.now >= q.sends[n-1].at+c.delay {
					r.finish(q, n-1, OK)
				}
			}
			r.request(Request{ID: 1 + i, Deadline: r.now + 1})
		}
		if h.concurrencyLimit < c.low || h.concurrencyLimit > c.high {
			t.Errorf("answers after %v: limit %v", c.delay, h.concurrencyLimit)
		}
	}
}

func TestBothReadingsOfPhi(t *testing.T) {
	b := New(plain(), 3, newRecorder(t, plain()))
	for _, c := range []struct {
		phi       float64
		low, high int
	}{{2.9, 1000, 1000}, {5, 420, 580}, {8.1, 0, 0}} {
		n := 0
		for range 1000 {
			if b.isCandidate(&host{phi: c.phi}) {
				n++
			}
		}
		if n < c.low || n > c.high {
			t.Errorf("phi %v: drawn %d times of 1000", c.phi, n)
		}
	}
}

func TestSigmaIsClamped(t *testing.T) {
	for name, c := range map[string]struct {
		gaps  [2]float32
		sigma float64
	}{"steady": {[2]float32{1, 1}, 0.1}, "wild": {[2]float32{0.2, 1.8}, 0.2}, "between": {[2]float32{0.85, 1.15}, 0.15}} {
		b := New(plain(), 3, newRecorder(t, plain()))
		b.now = 1.4
		h := &host{gaps: c.gaps[:], currentCadence: 1}
		h.updateGapStats()
		if got, want := b.silencePhi(h), Phi(1.4, 1, c.sigma); math.Abs(got-want) > 1e-6 {
			t.Errorf("%s gaps: phi %v, want %v", name, got, want)
		}
	}
}

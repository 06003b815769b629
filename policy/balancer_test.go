package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestInvalidInput(t *testing.T) {
	empty := newRecorder(t, Settings{})
	empty.request(Request{ID: 1, Deadline: 1})
	if empty.requests[1].answer != "refused" {
		t.Error("a request of an unknown class is not refused")
	}
	r := newRecorder(t, polledSettings())
	r.updateHosts(ListCached)
	q := r.request(Request{ID: 1, Deadline: 0.5, Tenant: 9, WorkSeconds: math.NaN(), HasWork: true})
	r.balancer.AttemptDone(r.now, Result{ID: 77, Host: 5, Attempt: 3})
	r.balancer.ProbeDone(r.now, Result{Host: 5})
	r.balancer.Abandoned(r.now, 9)
	r.balancer.StreamStarted(r.now, 9)
	r.advance(2)
	if q.answer != "refused" {
		t.Errorf("without hosts: answer %q, want refused", q.answer)
	}
	r = newRecorder(t, polledSettings())
	r.updateHosts(ListFull, readyHosts(1, 2)...)
	for i, v := range []float32{-1, float32(math.NaN()), float32(math.Inf(1)), 1e30, 0} {
		r.advance(r.now + 1)
		q := r.request(Request{ID: uint32(10 + i), Deadline: r.now + 0.6})
		r.advance(r.now + 0.001)
		r.answerProbes(OK, func(uint32) float32 { return v })
		r.advance(r.now + 0.1)
		if len(q.attempts) == 0 {
			t.Errorf("reported load %v: request not sent, answer %q", v, q.answer)
			continue
		}
		r.finish(q, 0, OK)
	}
	r.advance(1e6)
	r.request(Request{ID: 99, Deadline: r.now + 0.5})
	r.advance(r.now + 0.4)
	r.balancer.Abandoned(r.now, 99)
}

// TestRandomEvents feeds seeded random events to a Balancer; the recorder checks the rules at each action.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := baseSettings()
		if seed%2 == 0 {
			s = polledSettings()
		}
		s.HedgingAllowed, s.CanCancel = seed%3 != 0, seed%5 != 0
		s.GoneHostsUsable, s.MaxAttempts = seed%7 == 0, 1+int(seed%4)
		s.Classes[1].DedupWindowSeconds = 5 * rng.Float64()
		runRandomRuleCheck(newRecorder(t, s), rng)
	}
}

func runRandomRuleCheck(r *recorder, rng *rand.Rand) {
	outcomes := []Outcome{OK, OK, OK, HostError, Rejected, ConnectFailed, Reset, Cancelled}
	r.updateHosts(ListCached, readyHosts(1, 2, 3, 11, 12, 13)...)
	for range 1500 {
		r.advance(r.now + 0.004*rng.Float64())
		for _, id := range r.ids { // attempts in flight end at the deadline
			q := r.requests[id]
			for n := range q.attempts {
				if !q.attempts[n].isDone && r.now >= q.Deadline-0.003 {
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
			finishRandomAttempt(r, rng, outcomes[rng.IntN(len(outcomes))])
		case k < 17:
			r.answerProbes(OK, func(uint32) float32 { return float32(rng.IntN(6)) })
		case k == 17:
			r.answerProbes(TimedOut, nil)
		default:
			id := []uint32{1, 2, 3, 11, 12, 13, 21}[rng.IntN(7)]
			h := HostInfo{ID: id, Cell: int(id) / 10, State: HostState(rng.IntN(3))}
			if rng.IntN(3) > 0 {
				h.State = Ready
			}
			if rng.IntN(4) == 0 {
				h.Started = r.now
			}
			r.updateHosts([]ListKind{ListDelta, ListDelta, ListDelta, ListFull}[rng.IntN(4)], h)
		}
	}
}

// finishRandomAttempt ends a random attempt that is in flight.
func finishRandomAttempt(r *recorder, rng *rand.Rand, outcome Outcome) {
	from := rng.IntN(len(r.ids) + 1)
	for i := range r.ids {
		q := r.requests[r.ids[(from+i)%len(r.ids)]]
		for n := range q.attempts {
			if !q.attempts[n].isDone {
				r.finish(q, n, outcome)
				return
			}
		}
	}
}

// A process that was killed starts without state. It must ignore the results of attempts of the process before it.
func TestRestartedBalancerIgnoresOldResults(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1, 2)...)
	q := r.request(Request{ID: 1, Deadline: 1})
	again := newRecorder(t, baseSettings())
	again.updateHosts(ListCached, readyHosts(1, 2)...)
	again.balancer.AttemptDone(0.1, Result{ID: q.ID, Host: q.attempts[0].host, Outcome: OK, DelaySeconds: 0.1, Final: true})
	again.balancer.Abandoned(0.1, q.ID)
	again.now = 0.1
	if k := again.request(Request{ID: 2, Deadline: 1}); len(k.attempts) != 1 {
		t.Error("the restarted Balancer does not send a request")
	}
}

// With odd lists and replica counts, too, each request gets its answer and no rule is broken.
func TestDegenerateFleets(t *testing.T) {
	twice := append(manyHosts(5), manyHosts(5)...)
	for name, c := range map[string]struct {
		first, then    []HostInfo
		self, replicas int
		answers        bool
		served         bool
	}{
		"nobody answers":               {manyHosts(20), manyHosts(20), 3, 100, false, true},
		"empty at the start":           {nil, nil, 0, 1, true, false},
		"empty, then right":            {nil, manyHosts(6), 0, 1, true, true},
		"all gone while they answer":   {manyHosts(12), nil, 0, 1, true, true},
		"every host listed twice":      {twice, twice, 0, 4, true, true},
		"no proxies, by the settings":  {manyHosts(9), manyHosts(9), -5, 0, true, true},
		"a number beyond the replicas": {manyHosts(9), manyHosts(9), 400, 3, true, true},
		"thousands of hosts":           {manyHosts(5000), manyHosts(5000), 7, 900, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := baseSettings()
			s.ProbesEnabled, s.GoneHostsUsable, s.Self, s.Replicas = true, true, c.self, c.replicas
			s.Tenants = []Tenant{{Name: "a", Share: 1}}
			r := newRecorder(t, s)
			r.updateHosts(ListCached, c.first...)
			served := 0
			for id := range uint32(400) {
				r.advance(r.now + 0.05)
				if id == 200 {
					r.updateHosts(ListFull, c.then...)
				}
				if c.answers {
					r.answerProbes(OK, nil)
				}
				r.probes = nil
				q := r.request(Request{ID: 1 + id, Class: int(id % 3), Tenant: int(id%5) - 1, Deadline: r.now + 0.6})
				r.advance(r.now + 0.1) // longer than any request is held
				if len(q.attempts) > 0 && q.answer == "" {
					r.finish(q, 0, OK)
					served++
				}
			}
			if (served > 100) != c.served {
				t.Errorf("%d of 400 requests served", served)
			}
		})
	}
}

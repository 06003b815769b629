package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

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

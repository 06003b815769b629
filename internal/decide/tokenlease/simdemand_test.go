package tokenlease_test

import (
	"fmt"
	"math"

	"hazelwheel/internal/decide/tokenlease"
)

// tenant is a tenant with its requests and payments.
type tenant struct {
	name     string
	limit    tokenlease.Limit // the limit at the start
	changes  []limitChange    // in the order of their times
	payments []payment
	arrivals []arrival
}

// limitChange gives a tenant another limit.
type limitChange struct {
	at    float64
	limit tokenlease.Limit // may be unlimited
}

// limitFor returns the limit that a process knows: changes reach it after its configDelay.
func (t *tenant) limitFor(now float64, p *process) tokenlease.Limit {
	limit := t.limit
	for _, change := range t.changes {
		if change.at+p.configDelay <= now {
			limit = change.limit
		}
	}
	return limit
}

// maxOver returns the maximum of a function over the limits that apply at some time between from and until. A limit applies until one window
// after its successor is known everywhere, since tokens of it may be left.
func (t *tenant) maxOver(from, until, window float64, value func(limit tokenlease.Limit) float64) float64 {
	most, limit := 0.0, t.limit
	for i := 0; ; i++ {
		isOver := i < len(t.changes) && t.changes[i].at+configApplySeconds+window < from
		if !isOver {
			most = max(most, value(limit))
		}
		if i == len(t.changes) || t.changes[i].at > until {
			return most
		}
		limit = t.changes[i].limit
	}
}

// payment is an admitted request.
type payment struct {
	at     float64
	tokens int64
}

// arrival is a request with its result.
type arrival struct {
	at         float64
	tokens     int64
	isAdmitted bool
	refusal    tokenlease.Refusal
}

// demand describes a tenant's requests in a period: a multiple of its rate, at some lessees.
type demand struct {
	from, until float64
	factor      float64 // multiple of the limit's rate
	lessees     []int
	meanTokens  float64
}

// addDemand draws the arrivals of a demand.
func (s *simulation) addDemand(t *tenant, d demand) {
	perSecond := d.factor * t.limit.Rate / d.meanTokens
	if perSecond <= 0 {
		return
	}
	for at := d.from + s.rng.ExpFloat64()/perSecond; at < d.until; at += s.rng.ExpFloat64() / perSecond {
		tokens := int64(d.meanTokens * s.rng.ExpFloat64())
		index := d.lessees[s.rng.IntN(len(d.lessees))]
		s.at(at, func() { s.request(t, index, max(tokens, 1)) })
	}
}

// drawChanges draws changes of the limit for some tenants: it is raised, lowered, removed and restored.
func (s *simulation) drawChanges(t *tenant) {
	if s.rng.IntN(3) > 0 {
		return
	}
	for at := s.uniform(0, 12); at < s.plan.seconds; at += s.uniform(0.5, 10) {
		limit := tokenlease.Limit{Rate: t.limit.Rate * s.uniform(0.1, 2), Burst: t.limit.Burst * s.uniform(0, 2)}
		if s.rng.IntN(5) == 0 {
			limit = tokenlease.Limit{}
		}
		t.changes = append(t.changes, limitChange{at, limit})
	}
}

// drawDemands draws tenants with changing demands: at one lessee up to all, from none to far above the limit.
func (s *simulation) drawDemands() {
	for i := range s.plan.tenants {
		rate := math.Exp(s.uniform(math.Log(5_000), math.Log(600_000)))
		t := &tenant{name: fmt.Sprint("tenant-", i), limit: tokenlease.Limit{Rate: rate, Burst: rate * s.uniform(0, 1.5)}}
		s.tenants = append(s.tenants, t)
		s.drawChanges(t)
		for at := 0.0; at < s.plan.seconds; {
			next := at + s.uniform(0.5, 6)
			count := []int{1, 1 + s.rng.IntN(len(s.lessees)), len(s.lessees)}[s.rng.IntN(3)]
			s.addDemand(t, demand{at, next, []float64{0, 0.3, 0.8, 1, 2, 8}[s.rng.IntN(6)], s.rng.Perm(len(s.lessees))[:count],
				max(rate/s.uniform(20, 150), 10)})
			at = next
		}
	}
}

// drawOverload draws a tenant with a demand near its limit, so that lessees hold tokens, then with little or none while there are faults, and then
// far above its limit.
func (s *simulation) drawOverload() {
	rate := math.Exp(s.uniform(math.Log(20_000), math.Log(600_000)))
	t := &tenant{name: "pressing", limit: tokenlease.Limit{Rate: rate, Burst: rate * s.uniform(0, 1.5)}}
	s.tenants = append(s.tenants, t)
	s.drawChanges(t)
	quietFrom := s.uniform(4, 8)
	overloadFrom := quietFrom + s.uniform(0, 6)
	everywhere := s.rng.Perm(len(s.lessees))
	meanTokens := rate / s.uniform(30, 100)
	s.addDemand(t, demand{0, quietFrom, s.uniform(0.6, 1), everywhere, meanTokens})
	s.addDemand(t, demand{quietFrom, overloadFrom, s.uniform(0, 0.2), everywhere, meanTokens})
	s.addDemand(t, demand{overloadFrom, s.plan.seconds, s.uniform(3, 10), everywhere, meanTokens})
	kind := s.drawFaultKind()
	for range s.rng.IntN(4) {
		s.addFault(kind, s.uniform(quietFrom-0.3, overloadFrom+0.3), s.uniform(0.05, 7), s.rng.IntN(len(s.lessees))/2+1)
	}
	if s.rng.IntN(2) == 0 {
		s.addFault(kind, s.uniform(overloadFrom, s.plan.seconds), s.uniform(0.05, 4), 1)
	}
}

// drawMovingBursts draws a tenant whose requests come in bursts, each at another group of lessees. Its mean demand is below or above its limit.
func (s *simulation) drawMovingBursts() {
	rate := math.Exp(s.uniform(math.Log(20_000), math.Log(600_000)))
	t := &tenant{name: "taking turns", limit: tokenlease.Limit{Rate: rate, Burst: rate * s.uniform(0, 1.5)}}
	s.tenants = append(s.tenants, t)
	length, factor, meanTokens := s.uniform(0.1, 2), s.uniform(1, 6), rate/s.uniform(30, 100)
	for at := s.uniform(0, 6); at < s.plan.seconds; at += length {
		group := s.rng.Perm(len(s.lessees))[:1+s.rng.IntN(len(s.lessees)/3+1)]
		s.addDemand(t, demand{at, at + length*s.uniform(0.3, 1), factor, group, meanTokens})
	}
	for range s.rng.IntN(3) {
		s.addFault(s.drawFaultKind(), s.uniform(0, s.plan.seconds), s.uniform(0.05, 7), 1)
	}
}

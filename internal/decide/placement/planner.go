package placement

import (
	"math"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/message"
)

// demandTimeConstant is the time constant of the average of the demand, in seconds.
const demandTimeConstant = 1.5

// Planner plans where the prompts of a service are processed.
type Planner struct {
	pool         *Pool
	paces        stagePaces
	cacheSeconds float64     // for which a chunk counts as cached after its last use
	prefillRate  decayingSum // prompt tokens that were sent to prefill
}

// decayingSum is a sum that decays with demandTimeConstant.
type decayingSum struct {
	sum, updatedAt float64
}

// add adds an amount.
func (d *decayingSum) add(now, amount float64) {
	d.sum = d.sum*math.Exp(-(now-d.updatedAt)/demandTimeConstant) + amount
	d.updatedAt = now
}

// perSecond returns the rate of the amounts.
func (d *decayingSum) perSecond(now float64) float64 {
	return d.sum * math.Exp(-(now-d.updatedAt)/demandTimeConstant) / demandTimeConstant
}

// NewPlanner returns a planner for a pool. Chunks count as cached for cacheSeconds after their last use.
func NewPlanner(pool *Pool, cacheSeconds float64) *Planner {
	return &Planner{pool: pool, cacheSeconds: cacheSeconds, paces: newStagePaces()}
}

// Demand returns the load that this proxy puts on the service.
func (l *Planner) Demand(now float64) membership.Demand {
	demand := membership.Demand{Service: l.pool.Service, PrefillTokensPerSecond: l.prefillRate.perSecond(now)}
	for _, e := range l.pool.endpoints {
		if e.Stage == message.Decode {
			demand.DecodeStreams += float64(e.InFlight)
			demand.KVTokens += e.engine.kvTokens
		}
	}
	return demand
}

// PlanPrompt returns where a prompt is to be processed, and false if there is no server. excluded are servers that have failed
// the request before. Without allowSplit one decode server does it all.
func (l *Planner) PlanPrompt(now float64, q *Prompt, excluded []*Endpoint, allowSplit bool) (Plan, bool) {
	key := q.SharedPrefixKey()
	// Danger: proxies agree on the home of a key among prefill servers only. No decode server may count as having cached what
	// other proxies have sent.
	colocated, colocatedSeconds := l.cheapest(now, q, "", l.decodeCandidates(now, excluded))
	if !allowSplit {
		return Plan{DecodeServer: colocated}, colocated != nil
	}
	prefillServer, prefillSeconds := l.cheapest(now, q, key, l.pool.candidates(now, message.Prefill, excluded))
	switch {
	case colocated == nil:
		return Plan{}, false
	case prefillServer == nil ||
		colocatedSeconds*colocated.interferenceFactor()+l.gapPenalty(now, q, colocated) <= prefillSeconds+l.transferSeconds(q, prefillServer, colocated):
		return Plan{DecodeServer: colocated}, true
	}
	return Plan{PrefillServer: prefillServer}, true
}

// decodeCandidates returns decode servers for a prompt: members that have not failed it, else servers outside the subset, else
// members that have failed it, else an ejected one.
func (l *Planner) decodeCandidates(now float64, excluded []*Endpoint) []*Endpoint {
	if candidates := l.pool.candidates(now, message.Decode, excluded); len(candidates) > 0 {
		return candidates
	}
	if outside := l.pool.outsideSubset(now, message.Decode, excluded); len(outside) > 0 {
		return outside
	}
	if candidates := l.pool.candidates(now, message.Decode, nil); len(candidates) > 0 {
		return candidates
	}
	return l.pool.lastResort(now, message.Decode, excluded)
}

// PickDecodeServer returns the server that is to answer a prompt after its prefill in a zone, nil if there is none.
func (l *Planner) PickDecodeServer(now float64, zone string, excluded []*Endpoint) *Endpoint {
	candidates := l.decodeCandidates(now, excluded)
	if len(candidates) == 0 {
		return nil
	}
	return l.pickLessLoaded(candidates, zone)
}

// cheapest returns the candidate with the lowest cost of prefill, and that cost. key is the key of the shared prefix, empty if
// no home counts.
func (l *Planner) cheapest(now float64, q *Prompt, key string, candidates []*Endpoint) (best *Endpoint, seconds float64) {
	home := homeServer(key, candidates)
	for _, e := range candidates {
		if s := l.prefillCost(e, q, now, key != "" && e == home); best == nil || s < seconds {
			best, seconds = e, s
		}
	}
	return best, seconds
}

// homeServer returns the home of a key among candidates: the server with the highest score.
func homeServer(key string, candidates []*Endpoint) (server *Endpoint) {
	bestScore := uint64(0)
	for _, e := range candidates {
		if score := rendezvousScore(key, e.ID); server == nil || score > bestScore {
			server, bestScore = e, score
		}
	}
	return server
}

// pickLessLoaded returns the less loaded one of two random candidates, with a preference for a zone.
func (l *Planner) pickLessLoaded(candidates []*Endpoint, zone string) *Endpoint {
	first, second := l.pool.pickTwo(candidates)
	a, b := first.decodeLoad(zone), second.decodeLoad(zone)
	if b < a {
		return second
	}
	return first
}

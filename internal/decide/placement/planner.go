package placement

import (
	"math"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/message"
)

// demandTimeConstant is the time constant of the average demand, in seconds.
const demandTimeConstant = 1.5

// Planner decides which servers process the prompts of a service.
type Planner struct {
	pool         *Pool
	speeds       stageSpeeds
	cacheSeconds float64     // for how long a chunk counts as cached after its last use
	prefillRate  decayingSum // prompt tokens sent to prefill
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

// perSecond returns the average amount per second.
func (d *decayingSum) perSecond(now float64) float64 {
	return d.sum * math.Exp(-(now-d.updatedAt)/demandTimeConstant) / demandTimeConstant
}

// NewPlanner returns a planner for a pool. Chunks count as cached for cacheSeconds after their last use.
func NewPlanner(pool *Pool, cacheSeconds float64) *Planner {
	return &Planner{pool: pool, cacheSeconds: cacheSeconds, speeds: newStageSpeeds()}
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

// PlanPrompt returns where a prompt is to be processed, and false if there is no server. excluded contains the servers that have
// failed the request before. Without allowSplit a single decode server does everything.
func (l *Planner) PlanPrompt(now float64, q *Prompt, excluded []*Endpoint, allowSplit bool) (Plan, bool) {
	key := q.SharedPrefixKey()
	// Proxies agree on a home only among prefill servers, so no decode server may be assumed to have cached what other proxies
	// have sent.
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

// decodeCandidates returns decode servers for a prompt. It returns the first of these sets that is not empty: members that have
// not failed it, servers outside the subset, members that have failed it, and the member whose ejection ends first.
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
	return l.pool.fallbackServers(now, message.Decode, excluded)
}

// PickDecodeServer returns the server that is to answer a prompt after its prefill in a zone, or nil if there is none.
func (l *Planner) PickDecodeServer(now float64, zone string, excluded []*Endpoint) *Endpoint {
	candidates := l.decodeCandidates(now, excluded)
	if len(candidates) == 0 {
		return nil
	}
	return l.pickLessLoaded(candidates, zone)
}

// cheapest returns the candidate with the lowest prefill cost, and that cost. key identifies the shared prefix; it is empty if no
// server counts as its home.
func (l *Planner) cheapest(now float64, q *Prompt, key string, candidates []*Endpoint) (best *Endpoint, seconds float64) {
	home := homeServer(key, candidates)
	for _, e := range candidates {
		if s := l.prefillCost(e, q, now, key != "" && e == home); best == nil || s < seconds {
			best, seconds = e, s
		}
	}
	return best, seconds
}

// homeServer returns the candidate with the highest rendezvous score for a key (the key's home).
func homeServer(key string, candidates []*Endpoint) (server *Endpoint) {
	bestScore := uint64(0)
	for _, e := range candidates {
		if score := rendezvousScore(key, e.ID); server == nil || score > bestScore {
			server, bestScore = e, score
		}
	}
	return server
}

// pickLessLoaded returns the less loaded of two random candidates; servers in another zone than the given one count as more
// loaded.
func (l *Planner) pickLessLoaded(candidates []*Endpoint, zone string) *Endpoint {
	first, second := l.pool.pickTwo(candidates)
	a, b := first.decodeLoad(zone), second.decodeLoad(zone)
	if b < a {
		return second
	}
	return first
}

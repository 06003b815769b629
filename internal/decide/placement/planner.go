package placement

import (
	"math"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/message"
)

const (
	// demandTimeConstant is the time in seconds over which what is asked is averaged.
	demandTimeConstant = 1.5
)

// Planner chooses servers for prompts.
type Planner struct {
	pool         *Pool
	paces        stagePaces
	cacheSeconds float64     // for how long a part that was read is taken to be held
	prefillRate  decayingSum // prompt tokens
}

// decayingSum sums what comes, and forgets it in demandTau seconds.
type decayingSum struct {
	sum, updatedAt float64
}

func (d *decayingSum) add(now, amount float64) {
	d.sum = d.sum*math.Exp(-(now-d.updatedAt)/demandTimeConstant) + amount
	d.updatedAt = now
}

// perSecond returns the amount a second.
func (d *decayingSum) perSecond(now float64) float64 {
	return d.sum * math.Exp(-(now-d.updatedAt)/demandTimeConstant) / demandTimeConstant
}

// NewPlanner returns a planner for a pool.
func NewPlanner(pool *Pool, cacheSeconds float64) *Planner {
	return &Planner{pool: pool, cacheSeconds: cacheSeconds, paces: newStagePaces()}
}

// Demand returns what this proxy asks of the service.
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

// PlanPrompt returns where a prompt is to be read, and false if there is no server. Those in without are passed over.
func (l *Planner) PlanPrompt(now float64, q *Prompt, excluded []*Endpoint, allowSplit bool) (Plan, bool) {
	key := q.SharedPrefixKey()
	// Danger: nobody agrees on where a key is read beside answers, so that no such server is taken to hold what others had read there.
	colocated, colocatedSeconds := l.cheapest(now, q, "", l.decodeCandidates(now, excluded))
	if !allowSplit {
		return Plan{DecodeServer: colocated}, colocated != nil
	}
	prefillServer, prefillSeconds := l.cheapest(now, q, key, l.pool.candidates(now, message.Prefill, excluded))
	switch {
	case colocated == nil:
		return Plan{}, false
	case prefillServer == nil || colocatedSeconds*colocated.interferenceFactor()+l.gapPenalty(now, q, colocated) <= prefillSeconds+l.transferSeconds(q, prefillServer, colocated):
		return Plan{DecodeServer: colocated}, true
	}
	return Plan{PrefillServer: prefillServer}, true
}

// decodeCandidates returns the servers that may make an answer. Where none is left that has not failed it, those outside the proxy's part are asked,
// then the others again, and those that cool down before the request is refused.
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

// PickDecodeServer returns the server that makes the answer of a prompt that was read in a zone, nil if there is none.
func (l *Planner) PickDecodeServer(now float64, zone string, excluded []*Endpoint) *Endpoint {
	candidates := l.decodeCandidates(now, excluded)
	if len(candidates) == 0 {
		return nil
	}
	return l.pickLessLoaded(candidates, zone)
}

// cheapest returns the candidate that has read the prompt first.
func (l *Planner) cheapest(now float64, q *Prompt, key string, candidates []*Endpoint) (best *Endpoint, seconds float64) {
	home := homeServer(key, candidates)
	for _, e := range candidates {
		if s := l.prefillCost(e, q, now, key != "" && e == home); best == nil || s < seconds {
			best, seconds = e, s
		}
	}
	return best, seconds
}

// homeServer returns the server on which all proxies agree for a key.
func homeServer(key string, candidates []*Endpoint) (server *Endpoint) {
	bestScore := uint64(0)
	for _, e := range candidates {
		if score := rendezvousScore(key, e.ID); server == nil || score > bestScore {
			server, bestScore = e, score
		}
	}
	return server
}

// pickLessLoaded returns the one of two random candidates with less to do, of the reader's zone where that has room.
func (l *Planner) pickLessLoaded(decoders []*Endpoint, zone string) *Endpoint {
	first, second := l.pool.pickTwo(decoders)
	a, b := first.decodeLoad(zone), second.decodeLoad(zone)
	if b < a {
		return second
	}
	return first
}

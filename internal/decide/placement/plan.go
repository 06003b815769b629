package placement

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/message"
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

// prefillSeconds is what a server of a stage takes to read so many tokens at once.
func (l *Planner) prefillSeconds(stage message.Stage, tokens float64) float64 {
	return l.paces.forStage(stage).latencySeconds + tokens/l.tokensPerSecond(stage)
}

func (l *Planner) tokensPerSecond(stage message.Stage) float64 {
	return 1 / l.paces.forStage(stage).secondsPerToken
}

// prefillCost estimates the cost of having a server read a prompt, in seconds: the time until it is read, and what reading shared
// parts again counts for.
func (l *Planner) prefillCost(e *Endpoint, q *Prompt, now float64, isHome bool) float64 {
	uncached := e.uncachedTokens(q, now, l.cacheSeconds, isHome)
	seconds := e.engine.expectedWait(now) + l.prefillSeconds(e.Stage, e.engine.prefillTokens+uncached)
	if e.Zone != l.pool.Zone {
		seconds += crossZonePrefillSeconds
	}
	return seconds + repeatedTokenSeconds*max(uncached-q.ownTokens(), 0) + latenessPenalty(seconds, q.LatencyTargetSeconds)
}

// latenessPenalty is what it counts for that a prompt is read too late for its objective, in seconds.
func latenessPenalty(seconds, targetSeconds float64) float64 {
	if targetSeconds <= 0 {
		return 0
	}
	return latePenaltySeconds * min(max((seconds/targetSeconds-latenessStart)/(latenessEnd-latenessStart), 0), 1)
}

// expectedWait is how long a prompt is taken to wait before it is read: by what the server told or was seen to take, which fades, and by
// the prompts that are overdue there now.
func (v *engineState) expectedWait(now float64) float64 {
	wait := v.waitSeconds * math.Exp(-(now-v.waitObservedAt)/waitTimeConstant)
	for _, r := range v.prefills {
		wait = max(wait, now-r.startedAt-r.expectedSeconds)
	}
	return wait
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

// interferenceFactor is by how much a prompt counts more that is read beside answers under way.
func (e *Endpoint) interferenceFactor() float64 {
	return 1 + interferencePenalty*float64(max(e.engine.running, e.InFlight))
}

// gapPenalty is what it counts for that answers under way at a server pause for too long while it reads a prompt, in seconds. Reading takes
// turns with them, and for as long as it goes on they come several times as slowly.
func (l *Planner) gapPenalty(now float64, q *Prompt, e *Endpoint) float64 {
	if q.GapTargetSeconds <= 0 {
		return 0
	}
	prefillSeconds := l.prefillSeconds(e.Stage, e.engine.prefillTokens+e.uncachedTokens(q, now, l.cacheSeconds, false))
	late := min(max(prefillSeconds/q.GapTargetSeconds-gapPenaltyStart, 0)/(1-gapPenaltyStart), 1)
	return latePenaltySeconds * late * float64(max(e.engine.running, e.InFlight))
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

// decodeLoad is the part of a server's slots that is taken, as far as is known, and what a move from another zone counts for.
func (e *Endpoint) decodeLoad(zone string) float64 {
	taken := float64(max(e.engine.running+e.engine.waiting, e.InFlight)) / float64(max(e.Slots, 1))
	if e.Zone != zone {
		taken += crossZoneDecodeLoad
	}
	return taken
}

func (l *Planner) transferSeconds(q *Prompt, from, to *Endpoint) float64 {
	if l.pool.Engine.LinkMbps <= 0 {
		return transferSetupSeconds
	}
	seconds := float64(q.Tokens) * l.pool.Engine.KVTokenBytes * 8 / (l.pool.Engine.LinkMbps * 1e6)
	if from.Zone != to.Zone {
		seconds *= 2
	}
	return seconds + transferSetupSeconds
}

// StartPrefill counts a prompt that a server begins to read.
func (l *Planner) StartPrefill(now float64, e *Endpoint, q *Prompt) *Prefill {
	tokens := e.uncachedTokens(q, now, l.cacheSeconds, false)
	r := &Prefill{tokens: tokens, ownTokens: q.ownTokens(), startedAt: now, expectedSeconds: l.prefillSeconds(e.Stage, tokens)}
	e.engine.prefills = append(e.engine.prefills, r)
	e.engine.prefillTokens += tokens
	l.prefillRate.add(now, tokens)
	if e.engine.chunkUsedAt == nil || len(e.engine.chunkUsedAt) > maxChunks {
		e.engine.chunkUsedAt = map[string]float64{}
	}
	for i, part := range q.Chunks {
		if i < len(q.Chunks)-1 {
			e.engine.chunkUsedAt[part.ID] = now
		}
	}
	return r
}

// FinishPrefill takes a prompt away. read tells whether it was read to its end.
func (l *Planner) FinishPrefill(now float64, e *Endpoint, r *Prefill, isComplete bool) {
	e.engine.prefillTokens -= r.tokens
	e.engine.prefills = slices.DeleteFunc(e.engine.prefills, func(other *Prefill) bool { return other == r })
	if !isComplete {
		return
	}
	seconds := now - r.startedAt
	// Danger: what other proxies had read there is not known here. Only the part that nobody shares was read for certain.
	l.paces.forStage(e.Stage).observe(r.ownTokens, seconds)
	e.engine.waitSeconds, e.engine.waitObservedAt = (seconds-l.prefillSeconds(e.Stage, r.tokens))*waitPersistence, now
}

// StartDecode counts an answer that a server makes, EndAnswer takes it away.
func (e *Endpoint) StartDecode(q *Prompt) { e.engine.kvTokens += float64(q.Tokens + q.MaxOutputTokens) }

// FinishDecode takes an answer away that BeginAnswer counted.
func (e *Endpoint) FinishDecode(q *Prompt) {
	e.engine.kvTokens -= float64(q.Tokens + q.MaxOutputTokens)
}

// RecordLoad takes the figures that a server told this proxy with an answer: requests running and waiting.
func (e *Endpoint) RecordLoad(now float64, running, waiting int) {
	e.engine.setLoad(now, running, waiting)
	e.engine.hasNewLoad = true
}

func (v *engineState) setLoad(at float64, running, waiting int) {
	v.running, v.waiting, v.loadReportedAt = running, waiting, at
}

// MergeLoads takes what servers told other proxies, where it is younger.
func (p *Pool) MergeLoads(now float64, loads []message.Load) {
	if len(loads) == 0 || !p.Engine.IsPresent {
		return
	}
	byKey := make(map[uint32]message.Load, len(loads))
	for _, load := range loads {
		byKey[load.InstanceKey] = load
	}
	for _, e := range p.endpoints {
		load, ok := byKey[e.loadKey]
		if at := now - float64(load.AgeMs)/1000; ok && at > e.engine.loadReportedAt {
			e.engine.setLoad(at, int(load.Running), int(load.Waiting))
		}
	}
}

// TakeNewLoads returns what servers have told this proxy since it was called last.
func (p *Pool) TakeNewLoads(now float64) (loads []message.Load) {
	for _, e := range p.members {
		if !e.engine.hasNewLoad {
			continue
		}
		e.engine.hasNewLoad = false
		age := min(max(now-e.engine.loadReportedAt, 0)*1000, math.MaxUint16)
		loads = append(loads, message.Load{InstanceKey: e.loadKey, Running: clampUint16(e.engine.running), Waiting: clampUint16(e.engine.waiting), AgeMs: uint16(age)})
	}
	return loads
}

func clampUint16(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }

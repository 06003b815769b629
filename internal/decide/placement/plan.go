package placement

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/message"
)

// Planner chooses servers for prompts.
type Planner struct {
	pool  *Pool
	pace  paces
	keepS float64 // for how long a part that was read is taken to be held
	read  decayed // prompt tokens
}

// decayed sums what comes, and forgets it in demandTau seconds.
type decayed struct {
	sum, at float64
}

func (d *decayed) add(now, amount float64) {
	d.sum = d.sum*math.Exp(-(now-d.at)/demandTau) + amount
	d.at = now
}

// perS returns the amount a second.
func (d *decayed) perS(now float64) float64 {
	return d.sum * math.Exp(-(now-d.at)/demandTau) / demandTau
}

// NewPlanner returns a planner for a pool.
func NewPlanner(pool *Pool, keepS float64) *Planner {
	return &Planner{pool: pool, keepS: keepS, pace: newPaces()}
}

// Demand returns what this proxy asks of the service.
func (l *Planner) Demand(now float64) membership.Demand {
	demand := membership.Demand{Service: l.pool.Service, PrefillTokensPerSecond: l.read.perS(now)}
	for _, e := range l.pool.endpoints {
		if e.Stage == message.Decode {
			demand.DecodeStreams += float64(e.InFlight)
			demand.KVTokens += e.engine.held
		}
	}
	return demand
}

// seconds is what a server of a stage takes to read so many tokens at once.
func (l *Planner) seconds(stage message.Stage, tokens float64) float64 {
	return l.pace.of(stage).latency + tokens/l.paceOf(stage)
}

func (l *Planner) paceOf(stage message.Stage) float64 { return 1 / l.pace.of(stage).perToken }

// reading estimates the cost of having a server read a prompt, in seconds: the time until it is read, and what reading shared
// parts again counts for.
func (l *Planner) reading(e *Endpoint, q *Prompt, now float64, home bool) float64 {
	fresh := e.fresh(q, now, l.keepS, home)
	seconds := e.engine.waitNow(now) + l.seconds(e.Stage, e.engine.tokens+fresh)
	if e.Zone != l.pool.Zone {
		seconds += crossPenalty
	}
	return seconds + againPenalty*max(fresh-q.own(), 0) + lateness(seconds, q.LatencyTargetSeconds)
}

// lateness is what it counts for that a prompt is read too late for its objective, in seconds.
func lateness(seconds, aim float64) float64 {
	if aim <= 0 {
		return 0
	}
	return latePenalty * min(max((seconds/aim-lateFrom)/(lateTo-lateFrom), 0), 1)
}

// waitNow is how long a prompt is taken to wait before it is read: by what the server told or was seen to take, which fades, and by
// the prompts that are overdue there now.
func (v *engineView) waitNow(now float64) float64 {
	wait := v.wait * math.Exp(-(now-v.waitAt)/waitTau)
	for _, r := range v.readings {
		wait = max(wait, now-r.began-r.expected)
	}
	return wait
}

// PlanPrompt returns where a prompt is to be read, and false if there is no server. Those in without are passed over.
func (l *Planner) PlanPrompt(now float64, q *Prompt, without []*Endpoint, apart bool) (Plan, bool) {
	key := q.SharedPrefixKey()
	// Danger: nobody agrees on where a key is read beside answers, so that no such server is taken to hold what others had read there.
	direct, directS := l.best(now, q, "", l.decoders(now, without))
	if !apart {
		return Plan{DecodeServer: direct}, direct != nil
	}
	reader, readS := l.best(now, q, key, l.pool.candidates(now, message.Prefill, without))
	switch {
	case direct == nil:
		return Plan{}, false
	case reader == nil || directS*direct.heldUp()+l.pauses(now, q, direct) <= readS+l.moveSeconds(q, reader, direct):
		return Plan{DecodeServer: direct}, true
	}
	return Plan{PrefillServer: reader}, true
}

// decoders returns the servers that may make an answer. Where none is left that has not failed it, those outside the proxy's part are asked,
// then the others again, and those that cool down before the request is refused.
func (l *Planner) decoders(now float64, without []*Endpoint) []*Endpoint {
	if drawn := l.pool.candidates(now, message.Decode, without); len(drawn) > 0 {
		return drawn
	}
	if outside := l.pool.outside(now, message.Decode, without); len(outside) > 0 {
		return outside
	}
	if drawn := l.pool.candidates(now, message.Decode, nil); len(drawn) > 0 {
		return drawn
	}
	return l.pool.lastResort(now, message.Decode, without)
}

// heldUp is by how much a prompt counts more that is read beside answers under way.
func (e *Endpoint) heldUp() float64 {
	return 1 + directPenalty*float64(max(e.engine.running, e.InFlight))
}

// pauses is what it counts for that answers under way at a server pause for too long while it reads a prompt, in seconds. Reading takes
// turns with them, and for as long as it goes on they come several times as slowly.
func (l *Planner) pauses(now float64, q *Prompt, e *Endpoint) float64 {
	if q.GapTargetSeconds <= 0 {
		return 0
	}
	reading := l.seconds(e.Stage, e.engine.tokens+e.fresh(q, now, l.keepS, false))
	late := min(max(reading/q.GapTargetSeconds-pauseFrom, 0)/(1-pauseFrom), 1)
	return latePenalty * late * float64(max(e.engine.running, e.InFlight))
}

// PickDecodeServer returns the server that makes the answer of a prompt that was read in a zone, nil if there is none.
func (l *Planner) PickDecodeServer(now float64, zone string, without []*Endpoint) *Endpoint {
	drawn := l.decoders(now, without)
	if len(drawn) == 0 {
		return nil
	}
	return l.runner(drawn, zone)
}

// best returns the candidate that has read the prompt first.
func (l *Planner) best(now float64, q *Prompt, key string, from []*Endpoint) (best *Endpoint, seconds float64) {
	home := homeOf(key, from)
	for _, e := range from {
		if s := l.reading(e, q, now, key != "" && e == home); best == nil || s < seconds {
			best, seconds = e, s
		}
	}
	return best, seconds
}

// homeOf returns the server on which all proxies agree for a key.
func homeOf(key string, from []*Endpoint) (home *Endpoint) {
	best := uint64(0)
	for _, e := range from {
		if score := homeScore(key, e.ID); home == nil || score > best {
			home, best = e, score
		}
	}
	return home
}

// runner returns the one of two random candidates with less to do, of the reader's zone where that has room.
func (l *Planner) runner(decoders []*Endpoint, zone string) *Endpoint {
	first, second := l.pool.two(decoders)
	a, b := first.running(zone), second.running(zone)
	if b < a {
		return second
	}
	return first
}

// running is the part of a server's slots that is taken, as far as is known, and what a move from another zone counts for.
func (e *Endpoint) running(zone string) float64 {
	taken := float64(max(e.engine.running+e.engine.waiting, e.InFlight)) / float64(max(e.Slots, 1))
	if e.Zone != zone {
		taken += crossRunner
	}
	return taken
}

func (l *Planner) moveSeconds(q *Prompt, reader, runner *Endpoint) float64 {
	if l.pool.Engine.LinkMbps <= 0 {
		return moveSetup
	}
	seconds := float64(q.Tokens) * l.pool.Engine.KVTokenBytes * 8 / (l.pool.Engine.LinkMbps * 1e6)
	if reader.Zone != runner.Zone {
		seconds *= 2
	}
	return seconds + moveSetup
}

// StartPrefill counts a prompt that a server begins to read.
func (l *Planner) StartPrefill(now float64, e *Endpoint, q *Prompt) *Prefill {
	tokens := e.fresh(q, now, l.keepS, false)
	r := &Prefill{tokens: tokens, own: q.own(), began: now, expected: l.seconds(e.Stage, tokens)}
	e.engine.readings = append(e.engine.readings, r)
	e.engine.tokens += tokens
	l.read.add(now, tokens)
	if e.engine.parts == nil || len(e.engine.parts) > partsMost {
		e.engine.parts = map[string]float64{}
	}
	for i, part := range q.Chunks {
		if i < len(q.Chunks)-1 {
			e.engine.parts[part.ID] = now
		}
	}
	return r
}

// FinishPrefill takes a prompt away. read tells whether it was read to its end.
func (l *Planner) FinishPrefill(now float64, e *Endpoint, r *Prefill, read bool) {
	e.engine.tokens -= r.tokens
	e.engine.readings = slices.DeleteFunc(e.engine.readings, func(other *Prefill) bool { return other == r })
	if !read {
		return
	}
	seconds := now - r.began
	// Danger: what other proxies had read there is not known here. Only the part that nobody shares was read for certain.
	l.pace.of(e.Stage).learn(r.own, seconds)
	e.engine.wait, e.engine.waitAt = (seconds-l.seconds(e.Stage, r.tokens))*metPart, now
}

// StartDecode counts an answer that a server makes, EndAnswer takes it away.
func (e *Endpoint) StartDecode(q *Prompt) { e.engine.held += float64(q.Tokens + q.MaxOutputTokens) }

// FinishDecode takes an answer away that BeginAnswer counted.
func (e *Endpoint) FinishDecode(q *Prompt) { e.engine.held -= float64(q.Tokens + q.MaxOutputTokens) }

// RecordLoad takes the figures that a server told this proxy with an answer: requests running and waiting.
func (e *Endpoint) RecordLoad(now float64, running, waiting int) {
	e.engine.load(now, running, waiting)
	e.engine.untold = true
}

func (v *engineView) load(at float64, running, waiting int) {
	v.running, v.waiting, v.loadAt = running, waiting, at
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
		load, ok := byKey[e.key]
		if at := now - float64(load.AgeMs)/1000; ok && at > e.engine.loadAt {
			e.engine.load(at, int(load.Running), int(load.Waiting))
		}
	}
}

// TakeNewLoads returns what servers have told this proxy since it was called last.
func (p *Pool) TakeNewLoads(now float64) (loads []message.Load) {
	for _, e := range p.members {
		if !e.engine.untold {
			continue
		}
		e.engine.untold = false
		age := min(max(now-e.engine.loadAt, 0)*1000, math.MaxUint16)
		loads = append(loads, message.Load{InstanceKey: e.key, Running: clamp(e.engine.running), Waiting: clamp(e.engine.waiting), AgeMs: uint16(age)})
	}
	return loads
}

func clamp(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }

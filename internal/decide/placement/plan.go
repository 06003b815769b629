package placement

import (
	"math"

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
func NewPlanner(pool *Pool, keepS float64) *Planner { return &Planner{pool: pool, keepS: keepS} }

// Demand returns what this proxy asks of the service.
func (l *Planner) Demand(now float64) membership.Demand {
	demand := membership.Demand{Service: l.pool.Service, ReadPerS: l.read.perS(now), PacePerS: l.pace.prefill}
	for _, e := range l.pool.endpoints {
		if e.Stage == message.Decode {
			demand.Streams += float64(e.InFlight)
		}
	}
	return demand
}

func (l *Planner) paceOf(stage message.Stage) float64 {
	if pace := *l.pace.of(stage); pace > 0 {
		return pace
	}
	if stage == message.Decode {
		if l.pace.prefill > 0 {
			return l.pace.prefill * directPart
		}
		return pacePrior * directPart
	}
	if l.pace.decode > 0 {
		return l.pace.decode / directPart
	}
	return pacePrior
}

// reading estimates the cost of having a server read a prompt, in seconds: the time until it is read, and what reading shared
// parts again counts for.
func (l *Planner) reading(e *Endpoint, q *Prompt, now float64, home bool) float64 {
	fresh := e.fresh(q, now, l.keepS, home)
	seconds := e.engine.waitNow(now) + (e.engine.tokens+fresh)/l.paceOf(e.Stage)
	if e.Zone != l.pool.Zone {
		seconds += crossPenalty
	}
	return seconds + againPenalty*max(fresh-q.own(), 0)
}

func (v *engineView) waitNow(now float64) float64 { return v.wait * math.Exp(-(now-v.waitAt)/waitTau) }

// Choose returns the servers for a prompt, and false if there are none. Readers that are in without are passed over.
func (l *Planner) Choose(now float64, q *Prompt, without []*Endpoint) (Plan, bool) {
	decoders := l.pool.candidates(now, message.Decode, without)
	if len(decoders) == 0 {
		decoders = l.pool.candidates(now, message.Decode, nil)
	}
	if len(decoders) == 0 {
		return Plan{}, false
	}
	key := q.Shared()
	reader, readS := l.best(now, q, key, l.pool.candidates(now, message.Prefill, without))
	direct, directS := l.best(now, q, key, decoders)
	// Reading at a server that makes answers holds those up: each prompt there counts for more than its own time.
	if reader == nil || directS*directPenalty <= readS+l.moveSeconds(q, reader, direct) {
		return Plan{Runner: direct, Key: key}, true
	}
	return Plan{Reader: reader, Runner: l.runner(decoders, reader.Zone), Key: key}, true
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

// BeginReading counts a prompt that a server begins to read and returns the tokens that it is taken to read.
func (l *Planner) BeginReading(now float64, e *Endpoint, q *Prompt) float64 {
	tokens := e.fresh(q, now, l.keepS, false)
	e.engine.tokens += tokens
	l.read.add(now, tokens)
	if e.engine.parts == nil || len(e.engine.parts) > partsMost {
		e.engine.parts = map[string]float64{}
	}
	for i, part := range q.Parts {
		if i < len(q.Parts)-1 {
			e.engine.parts[part.ID] = now
		}
	}
	return tokens
}

// EndReading takes the tokens away. seconds is how long it took, 0 or less if it failed.
func (l *Planner) EndReading(now float64, e *Endpoint, tokens, seconds float64) {
	e.engine.tokens -= tokens
	if seconds <= 0 {
		return
	}
	pace := l.pace.of(e.Stage)
	if seen := tokens / seconds; tokens >= paceLeast {
		if seen > *pace {
			*pace = seen
		} else {
			*pace += paceDecay * (seen - *pace)
		}
	}
	e.engine.wait, e.engine.waitAt = max(seconds-tokens/l.paceOf(e.Stage), 0), now
}

// Loaded takes the figures that a server told with an answer: requests running and waiting.
func (e *Endpoint) Loaded(running, waiting int) {
	e.engine.running, e.engine.waiting = running, waiting
}

package placement

import (
	"math"

	"hazelwheel/internal/message"
)

// Planner chooses servers for prompts.
type Planner struct {
	pool  *Pool
	pace  paces
	keepS float64 // for how long a part that was read is taken to be held
}

// NewPlanner returns a planner for a pool.
func NewPlanner(pool *Pool, keepS float64) *Planner { return &Planner{pool: pool, keepS: keepS} }

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

// reading estimates the seconds until a server has read a prompt, and whether the server is the prompt's home.
func (l *Planner) reading(e *Endpoint, q *Prompt, now float64, home bool) float64 {
	pace := l.paceOf(e.Stage)
	seconds := e.engine.waitNow(now) + (e.engine.tokens+e.fresh(q, now, l.keepS, home))/pace
	if e.Zone != l.pool.Zone {
		seconds += crossPenalty
	}
	return seconds
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
	if reader == nil || directS <= readS+l.moveSeconds(q, reader, direct) {
		return Plan{Runner: direct, Key: key}, true
	}
	return Plan{Reader: reader, Runner: l.runner(decoders, reader.Zone), Key: key}, true
}

// best returns the candidate that has read the prompt first.
func (l *Planner) best(now float64, q *Prompt, key string, from []*Endpoint) (best *Endpoint, seconds float64) {
	home := homeOf(key, from, l.pool.Zone)
	for _, e := range from {
		if s := l.reading(e, q, now, key != "" && e == home); best == nil || s < seconds {
			best, seconds = e, s
		}
	}
	return best, seconds
}

// homeOf returns the server of the zone, or of any zone where it has none, on which all proxies there agree for a key.
func homeOf(key string, from []*Endpoint, zone string) *Endpoint {
	var home *Endpoint
	best, local := uint64(0), false
	for _, e := range from {
		score, near := homeScore(key, e.ID), e.Zone == zone
		if home == nil || near && !local || near == local && score > best {
			home, best, local = e, score, near
		}
	}
	return home
}

// runner returns the one of two random candidates with less to do, of the reader's zone where there are any.
func (l *Planner) runner(decoders []*Endpoint, zone string) *Endpoint {
	var near []*Endpoint
	for _, e := range decoders {
		if e.Zone == zone {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		near = decoders
	}
	first, second := l.pool.two(near)
	if second.load() < first.load() {
		return second
	}
	return first
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

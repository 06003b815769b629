package placement

import (
	"strconv"

	"hazelwheel/internal/message"
)

// Engine tells what model servers of a service are like.
type Engine struct {
	IsPresent     bool
	KVTokenBytes  float64
	KVTokens      float64
	LinkMbps      float64
	SwitchSeconds float64 // what a change of the stage takes, in seconds
}

// Chunk is a piece of a prompt that other prompts may begin with too.
type Chunk struct {
	ID     string
	Tokens int
}

func parseCount(text string) int {
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 {
		return 0
	}
	return count
}

const (
	// pacePrior is the reading pace that is assumed before any was seen, in tokens per second.
	pacePrior = 60_000.0
	// fastStep and slowStep are the weights of a reading that was faster or slower than expected.
	fastStep = 0.15
	slowStep = 0.03
	// learnUnit is the number of tokens by which readings are scaled, perTokenLeast a bound against nonsense, in seconds.
	learnUnit     = 10_000
	perTokenLeast = 1e-7
	// waitTau is the time in seconds in which a wait that was seen counts for a third.
	waitTau = 0.6
	// latePenalty is what it counts for that a prompt is surely too late, in seconds; between lateFrom and lateTo, in parts of the
	// objective, it grows.
	latePenalty = 0.5
	lateFrom    = 0.6
	lateTo      = 1.1
	// metPart is the part of the wait that a prompt met that is taken to last.
	metPart = 0.5
	// partsMost bounds the parts that are remembered of a server.
	partsMost = 4096
	// crossPenalty is what another zone counts for when a prompt is read, in seconds; crossRunner when its answer is made, as a part of
	// a server's slots.
	crossPenalty = 0.003
	crossRunner  = 0.08
	// againPenalty is what a token of a shared part counts for that is read where it is not held, in seconds.
	againPenalty = 100e-6
	// directPenalty is what each answer under way counts for that is held up by a prompt read beside it, as a part of the time.
	directPenalty = 0.5
	// pauseFrom is the part of the longest pause in time for which a prompt may be read beside answers without making them late.
	pauseFrom = 0.5
	// demandTau is the time in seconds over which what is asked is averaged.
	demandTau = 1.5
	// directPart is how much slower a decode server reads than a prefill server, until both were seen.
	directPart = 0.5
	// moveSetup is what a move takes beside its bytes, in seconds.
	moveSetup = 0.004
)

// engineView is what a proxy knows of a model server.
type engineView struct {
	tokens   float64 // own prompt tokens that are being read there
	wait     float64 // seconds waited beyond the reading itself, as seen last
	waitAt   float64
	loadAt   float64 // when the server told running and waiting
	untold   bool    // this was told here and not passed on yet
	running  int
	waiting  int
	held     float64            // tokens that own answers hold in memory
	parts    map[string]float64 // when own requests used them last there
	readings []*Prefill         // that are under way
}

// Prefill is a prompt that a server reads.
type Prefill struct {
	tokens   float64
	own      float64 // tokens that nobody shares
	began    float64
	expected float64 // seconds, if it is read at once
}

// Prompt is what the choice of servers goes by.
type Prompt struct {
	Chunks               []Chunk
	Tokens               int     // of the whole prompt
	MaxOutputTokens      int     // most tokens to go out
	LatencyTargetSeconds float64 // the objective for the first event, in seconds; 0: none
	GapTargetSeconds     float64 // the longest pause between events that is in time, in seconds; 0: none
}

// SharedPrefixKey returns the key of the parts that others may share, "" if there are none.
func (q *Prompt) SharedPrefixKey() string {
	if len(q.Chunks) < 2 {
		return ""
	}
	return q.Chunks[len(q.Chunks)-2].ID
}

// own returns the tokens that no other prompt shares.
func (q *Prompt) own() float64 {
	if len(q.Chunks) == 0 {
		return float64(max(q.Tokens, 1))
	}
	return float64(q.Chunks[len(q.Chunks)-1].Tokens)
}

// paces holds what was learned of how fast servers of each stage read.
type paces struct {
	prefill, decode pace
}

func newPaces() paces {
	return paces{prefill: pace{perToken: 1 / pacePrior}, decode: pace{perToken: 1 / (pacePrior * directPart)}}
}

func (p *paces) of(stage message.Stage) *pace {
	if stage == message.Prefill {
		return &p.prefill
	}
	return &p.decode
}

// pace says that reading takes a latency and a time for each token, where nothing else is read. It is fitted to the readings
// that went fast: one that was held up tells little.
type pace struct {
	latency  float64 // seconds
	perToken float64 // seconds
}

// learn takes a reading, by a step of a regression that weighs fast readings more.
func (p *pace) learn(tokens, seconds float64) {
	x := tokens / learnUnit
	wrong := seconds - p.latency - tokens*p.perToken
	step := slowStep
	if wrong < 0 {
		step = fastStep
	}
	step *= wrong / (1 + x*x)
	p.latency = max(p.latency+step, 0)
	p.perToken = max(p.perToken+step*x/learnUnit, perTokenLeast)
}

// Plan says where a prompt is read: at Reader, after which Runner has to be asked for, or where Reader is nil at Runner, which makes
// the answer too.
type Plan struct {
	PrefillServer *Endpoint
	DecodeServer  *Endpoint
}

// fresh returns the tokens of a prompt that a server has to read, as far as is known here. Its home is taken to hold the shared
// parts, since other proxies send them there too.
func (e *Endpoint) fresh(q *Prompt, now, keepS float64, home bool) float64 {
	left := q.Tokens
	for i, part := range q.Chunks {
		if i == len(q.Chunks)-1 {
			break
		}
		used, known := e.engine.parts[part.ID]
		if !home && (!known || now-used > keepS) {
			break
		}
		left -= part.Tokens
	}
	return float64(max(left, 1))
}

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
	// initialTokensPerSecond is the reading pace that is assumed before any was seen, in tokens per second.
	initialTokensPerSecond = 60_000.0
	// fastLearningRate and slowStep are the weights of a reading that was faster or slower than expected.
	fastLearningRate = 0.15
	slowLearningRate = 0.03
	// tokenScale is the number of tokens by which readings are scaled, perTokenLeast a bound against nonsense, in seconds.
	tokenScale         = 10_000
	minSecondsPerToken = 1e-7
	// waitTimeConstant is the time in seconds in which a wait that was seen counts for a third.
	waitTimeConstant = 0.6
	// latePenaltySeconds is what it counts for that a prompt is surely too late, in seconds; between lateFrom and lateTo, in parts of the
	// objective, it grows.
	latePenaltySeconds = 0.5
	latenessStart      = 0.6
	latenessEnd        = 1.1
	// waitPersistence is the part of the wait that a prompt met that is taken to last.
	waitPersistence = 0.5
	// maxChunks bounds the parts that are remembered of a server.
	maxChunks = 4096
	// crossZonePrefillSeconds is what another zone counts for when a prompt is read, in seconds; crossRunner when its answer is made, as a part of
	// a server's slots.
	crossZonePrefillSeconds = 0.003
	crossZoneDecodeLoad     = 0.08
	// repeatedTokenSeconds is what a token of a shared part counts for that is read where it is not held, in seconds.
	repeatedTokenSeconds = 100e-6
	// interferencePenalty is what each answer under way counts for that is held up by a prompt read beside it, as a part of the time.
	interferencePenalty = 0.5
	// gapPenaltyStart is the part of the longest pause in time for which a prompt may be read beside answers without making them late.
	gapPenaltyStart = 0.5
	// demandTimeConstant is the time in seconds over which what is asked is averaged.
	demandTimeConstant = 1.5
	// decodeServerPace is how much slower a decode server reads than a prefill server, until both were seen.
	decodeServerPace = 0.5
	// transferSetupSeconds is what a move takes beside its bytes, in seconds.
	transferSetupSeconds = 0.004
)

// engineState is what a proxy knows of a model server.
type engineState struct {
	prefillTokens  float64 // own prompt tokens that are being read there
	waitSeconds    float64 // seconds waited beyond the reading itself, as seen last
	waitObservedAt float64
	loadReportedAt float64 // when the server told running and waiting
	hasNewLoad     bool    // this was told here and not passed on yet
	running        int
	waiting        int
	kvTokens       float64            // tokens that own answers hold in memory
	chunkUsedAt    map[string]float64 // when own requests used them last there
	prefills       []*Prefill         // that are under way
}

// Prefill is a prompt that a server reads.
type Prefill struct {
	tokens          float64
	ownTokens       float64 // tokens that nobody shares
	startedAt       float64
	expectedSeconds float64 // seconds, if it is read at once
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

// ownTokens returns the tokens that no other prompt shares.
func (q *Prompt) ownTokens() float64 {
	if len(q.Chunks) == 0 {
		return float64(max(q.Tokens, 1))
	}
	return float64(q.Chunks[len(q.Chunks)-1].Tokens)
}

// stagePaces holds what was learned of how fast servers of each stage read.
type stagePaces struct {
	prefill, decode prefillPace
}

func newStagePaces() stagePaces {
	return stagePaces{prefill: prefillPace{secondsPerToken: 1 / initialTokensPerSecond}, decode: prefillPace{secondsPerToken: 1 / (initialTokensPerSecond * decodeServerPace)}}
}

func (p *stagePaces) forStage(stage message.Stage) *prefillPace {
	if stage == message.Prefill {
		return &p.prefill
	}
	return &p.decode
}

// prefillPace says that reading takes a latency and a time for each token, where nothing else is read. It is fitted to the readings
// that went fast: one that was held up tells little.
type prefillPace struct {
	latencySeconds  float64 // seconds
	secondsPerToken float64 // seconds
}

// observe takes a reading, by a step of a regression that weighs fast readings more.
func (p *prefillPace) observe(tokens, seconds float64) {
	x := tokens / tokenScale
	deviation := seconds - p.latencySeconds - tokens*p.secondsPerToken
	step := slowLearningRate
	if deviation < 0 {
		step = fastLearningRate
	}
	step *= deviation / (1 + x*x)
	p.latencySeconds = max(p.latencySeconds+step, 0)
	p.secondsPerToken = max(p.secondsPerToken+step*x/tokenScale, minSecondsPerToken)
}

// Plan says where a prompt is read: at Reader, after which Runner has to be asked for, or where Reader is nil at Runner, which makes
// the answer too.
type Plan struct {
	PrefillServer *Endpoint
	DecodeServer  *Endpoint
}

// uncachedTokens returns the tokens of a prompt that a server has to read, as far as is known here. Its home is taken to hold the shared
// parts, since other proxies send them there too.
func (e *Endpoint) uncachedTokens(q *Prompt, now, cacheSeconds float64, isHome bool) float64 {
	left := q.Tokens
	for i, part := range q.Chunks {
		if i == len(q.Chunks)-1 {
			break
		}
		used, known := e.engine.chunkUsedAt[part.ID]
		if !isHome && (!known || now-used > cacheSeconds) {
			break
		}
		left -= part.Tokens
	}
	return float64(max(left, 1))
}

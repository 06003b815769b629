package placement

import (
	"hazelwheel/internal/message"
)

const (
	// initialTokensPerSecond is the reading pace that is assumed before any was seen, in tokens per second.
	initialTokensPerSecond = 60_000.0
	// fastLearningRate and slowStep are the weights of a reading that was faster or slower than expected.
	fastLearningRate = 0.15
	slowLearningRate = 0.03
	// tokenScale is the number of tokens by which readings are scaled, perTokenLeast a bound against nonsense, in seconds.
	tokenScale         = 10_000
	minSecondsPerToken = 1e-7
	// decodeServerPace is how much slower a decode server reads than a prefill server, until both were seen.
	decodeServerPace = 0.5
)

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

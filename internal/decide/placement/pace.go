package placement

import "hazelwheel/internal/message"

const (
	// initialTokensPerSecond is the speed of prefill that is assumed before any was measured.
	initialTokensPerSecond = 60_000.0
	// fastLearningRate and slowLearningRate are the weights of a prefill that was faster or slower than expected.
	fastLearningRate = 0.15
	slowLearningRate = 0.03
	// tokenScale scales the number of tokens in the regression, minSecondsPerToken bounds its result.
	tokenScale         = 10_000
	minSecondsPerToken = 1e-7
	// decodeServerPace is the speed of prefill at a decode server as a fraction of that at a prefill server, until both were
	// measured.
	decodeServerPace = 0.5
)

// stagePaces holds the measured speed of prefill at the servers of each stage.
type stagePaces struct {
	prefill, decode prefillPace
}

// newStagePaces returns the assumed speeds.
func newStagePaces() stagePaces {
	return stagePaces{prefill: prefillPace{secondsPerToken: 1 / initialTokensPerSecond},
		decode: prefillPace{secondsPerToken: 1 / (initialTokensPerSecond * decodeServerPace)}}
}

// forStage returns the speed at servers of a stage.
func (p *stagePaces) forStage(stage message.Stage) *prefillPace {
	if stage == message.Prefill {
		return &p.prefill
	}
	return &p.decode
}

// prefillPace is the speed of prefill at a server that does nothing else: a latency and a time for each token. It is fitted to
// fast prefills, since the duration of one that had to wait says little.
type prefillPace struct {
	latencySeconds  float64
	secondsPerToken float64
}

// observe adds a measured prefill by a step of a regression that weighs fast ones more.
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

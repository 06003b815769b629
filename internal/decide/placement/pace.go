package placement

import "hazelwheel/internal/message"

const (
	// initialTokensPerSecond is the assumed prefill speed before any prefill has been measured.
	initialTokensPerSecond = 60_000.0
	// fastLearningRate and slowLearningRate are the weights of prefills that were faster or slower than expected, respectively.
	fastLearningRate = 0.15
	slowLearningRate = 0.03
	// tokenScale scales the number of tokens in the regression. minSecondsPerToken is the lower bound of its result.
	tokenScale         = 10_000
	minSecondsPerToken = 1e-7
	// decodeSpeedFraction is the assumed prefill speed of a decode server before any was measured, as a fraction of that of a
	// prefill server.
	decodeSpeedFraction = 0.5
)

// stageSpeeds holds the measured prefill speed of the servers of each stage.
type stageSpeeds struct {
	prefill, decode prefillModel
}

// newStageSpeeds returns the speeds that are assumed initially.
func newStageSpeeds() stageSpeeds {
	return stageSpeeds{prefill: prefillModel{secondsPerToken: 1 / initialTokensPerSecond},
		decode: prefillModel{secondsPerToken: 1 / (initialTokensPerSecond * decodeSpeedFraction)}}
}

// forStage returns the prefill speed of the servers of a stage.
func (p *stageSpeeds) forStage(stage message.Stage) *prefillModel {
	if stage == message.Prefill {
		return &p.prefill
	}
	return &p.decode
}

// prefillModel is a linear model of the duration of a prefill at a server without other work: a fixed latency plus a time for each
// token. It is fitted mainly to fast prefills, since the duration of one that had to wait says little about speed.
type prefillModel struct {
	latencySeconds  float64
	secondsPerToken float64
}

// observe updates the model by a measured prefill: a step of a regression that gives fast prefills more weight.
func (p *prefillModel) observe(tokens, seconds float64) {
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

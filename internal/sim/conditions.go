package sim

import "math/rand/v2"

// machineConditions are the properties of a day's machines, drawn from the seed. Days differ widely: a fault that shows only
// with small socket buffers, or only with slow loops, must not need both.
type machineConditions struct {
	splitProbability     float64 // of a segment
	shuffle              bool    // connections ready in one turn are handled in random order
	maxWakeDelaySeconds  float64 // of event loops
	callSeconds          float64 // duration of each call of a sidecar's handler
	maxStallSeconds      float64 // of a sidecar's event loop
	stallIntervalSeconds float64 // mean time between two stalls; 0: none
	sendBuffer           int     // of a sidecar's connections, in bytes; 0: the default
	receiveBuffer        int
	backlog              int
}

// drawConditions draws the conditions of a seed's day.
func drawConditions(seed uint64) machineConditions {
	rng := rand.New(rand.NewPCG(seed, 0x7765617468))
	w := machineConditions{splitProbability: 0.02, backlog: 128}
	oneIn := func(n int) bool { return rng.IntN(n) == 0 }
	if oneIn(2) {
		w.splitProbability = 0.5 * rng.Float64()
	}
	w.shuffle = oneIn(2)
	if oneIn(2) {
		w.maxWakeDelaySeconds = 1e-3 * rng.Float64()
	}
	if oneIn(2) {
		w.callSeconds = 2e-4 * rng.Float64()
	}
	if oneIn(4) {
		w.maxStallSeconds, w.stallIntervalSeconds = 0.02+0.1*rng.Float64(), 1+9*rng.Float64()
	}
	if oneIn(4) {
		w.sendBuffer, w.receiveBuffer = 100+rng.IntN(2000), 100+rng.IntN(2000)
	}
	if oneIn(8) {
		w.backlog = 4 + rng.IntN(16)
	}
	return w
}

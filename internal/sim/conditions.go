package sim

import "math/rand/v2"

// weather is how the machines of a day are, beside its troubles. Days differ much in it: what only shows with tiny
// sockets, or with slow loops, must not need both on most days.
type machineConditions struct {
	splitProbability     float64 // of the segments that are cut
	shuffle              bool    // what has come for one turn of a loop is handed over in any order
	maxWakeDelaySeconds  float64 // loops turn up to so much late
	callSeconds          float64 // a sidecar's call takes so long
	maxStallSeconds      float64 // a sidecar's loop now and then stands still for up to so long
	stallIntervalSeconds float64 // mean time between such stalls; 0: there are none
	sendBuffer           int     // bytes that a sidecar's sockets take
	receiveBuffer        int
	backlog              int
}

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

package sim

import "math/rand/v2"

// weather is how the machines of a day are, beside its troubles. Days differ much in it: what only shows with tiny
// sockets, or with slow loops, must not need both on most days.
type weather struct {
	cutShare float64 // of the segments that are cut
	shuffle  bool    // what has come for one turn of a loop is handed over in any order
	wakeS    float64 // loops turn up to so much late
	callS    float64 // a sidecar's call takes so long
	stallS   float64 // a sidecar's loop now and then stands still for up to so long
	everyS   float64 // mean time between such stalls; 0: there are none
	send     int     // bytes that a sidecar's sockets take
	receive  int
	backlog  int
}

func drawWeather(seed uint64) weather {
	rng := rand.New(rand.NewPCG(seed, 0x7765617468))
	w := weather{cutShare: 0.02, backlog: 128}
	oneIn := func(n int) bool { return rng.IntN(n) == 0 }
	if oneIn(2) {
		w.cutShare = 0.5 * rng.Float64()
	}
	w.shuffle = oneIn(2)
	if oneIn(2) {
		w.wakeS = 1e-3 * rng.Float64()
	}
	if oneIn(2) {
		w.callS = 2e-4 * rng.Float64()
	}
	if oneIn(4) {
		w.stallS, w.everyS = 0.02+0.1*rng.Float64(), 1+9*rng.Float64()
	}
	if oneIn(4) {
		w.send, w.receive = 100+rng.IntN(2000), 100+rng.IntN(2000)
	}
	if oneIn(8) {
		w.backlog = 4 + rng.IntN(16)
	}
	return w
}

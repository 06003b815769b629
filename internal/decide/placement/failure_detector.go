package placement

import (
	"math"

	"hazelwheel/policy"
)

const (
	// windowSize is the number of gaps from which phi is computed.
	windowSize = 30
	// suspectPhi is the suspicion level (phi) above which a server is a candidate for only half of the picks. excludePhi is the
	// level above which it gets only probes.
	suspectPhi = 3.0
	excludePhi = 8.0
	// minSigmaFraction and maxSigmaFraction bound the standard deviation of the gaps, as fractions of their mean.
	minSigmaFraction = 0.1
	maxSigmaFraction = 0.3
	// ProbeIntervalSeconds is the time between probes of a server. The design requires at most five seconds.
	ProbeIntervalSeconds = 4.8
	// retryProbeSeconds is the time until the next probe of a server that did not reply.
	retryProbeSeconds = 0.5
)

// gapWindow holds the last gaps between a server's probe replies, for a phi accrual failure detector (Hayashibara et al., 2004).
// Only replies add gaps, since silence must not raise the mean with which it is compared.
type gapWindow struct {
	gaps        []float64
	nextGap     int     // index of the oldest gap, once the window is full
	lastArrival float64 // time of the last reply
}

// seed starts a window with the mean gap of other servers.
func (w *gapWindow) seed(now, mean float64) {
	w.gaps = append(w.gaps[:0], mean, mean, mean)
	w.nextGap, w.lastArrival = len(w.gaps)%windowSize, now
}

// record adds a probe reply.
func (w *gapWindow) record(now float64) {
	gap := now - w.lastArrival
	if len(w.gaps) < windowSize {
		w.gaps = append(w.gaps, gap)
	} else {
		w.gaps[w.nextGap] = gap
		w.nextGap = (w.nextGap + 1) % windowSize
	}
	w.lastArrival = now
}

// mean returns the mean gap.
func (w *gapWindow) mean() float64 {
	sum := 0.0
	for _, gap := range w.gaps {
		sum += gap
	}
	return sum / float64(len(w.gaps))
}

// phi returns the suspicion level of a server by the time since its last reply.
func (w *gapWindow) phi(now float64) float64 {
	mean := w.mean()
	square := 0.0
	for _, gap := range w.gaps {
		square += (gap - mean) * (gap - mean)
	}
	variance := square / float64(len(w.gaps))
	low, high := minSigmaFraction*mean, maxSigmaFraction*mean
	sigma := min(max(math.Sqrt(variance), low), high)
	return policy.Phi(now-w.lastArrival, mean, sigma)
}

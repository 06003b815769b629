package placement

import "hazelwheel/policy"

const (
	windowSize = 30
	// suspectPhi is the suspicion above which a server is drawn half as often, phiOut the one above which it gets probes alone.
	suspectPhi = 3.0
	excludePhi = 8.0
	// minSigmaFraction and sigmaCap clamp sigma, as parts of the mean gap.
	minSigmaFraction = 0.1
	maxSigmaFraction = 0.3
	// ProbeIntervalSeconds is the time between probes of a server, in seconds. The design asks for five at most.
	ProbeIntervalSeconds = 4.8
	// retryProbeSeconds is the time to the next probe of a server that failed lately, in seconds.
	retryProbeSeconds = 0.5
)

// gapWindow holds the gaps between a server's probe answers. It grows on arrivals alone.
type gapWindow struct {
	gaps        []float64
	nextGap     int
	lastArrival float64 // when the last answer came
	probes      bool    // whether an answer came at all
}

// seed begins a window with the mean of others.
func (w *gapWindow) seed(now, mean float64) {
	w.gaps = append(w.gaps[:0], mean, mean, mean)
	w.nextGap, w.lastArrival = len(w.gaps)%windowSize, now
}

// record takes a probe answer.
func (w *gapWindow) record(now float64) {
	gap := now - w.lastArrival
	if len(w.gaps) < windowSize {
		w.gaps = append(w.gaps, gap)
	} else {
		w.gaps[w.nextGap] = gap
		w.nextGap = (w.nextGap + 1) % windowSize
	}
	w.lastArrival, w.probes = now, true
}

func (w *gapWindow) mean() float64 {
	sum := 0.0
	for _, gap := range w.gaps {
		sum += gap
	}
	return sum / float64(len(w.gaps))
}

// phi is the suspicion after the silence since the last answer.
func (w *gapWindow) phi(now float64) float64 {
	mean := w.mean()
	square := 0.0
	for _, gap := range w.gaps {
		square += (gap - mean) * (gap - mean)
	}
	variance := square / float64(len(w.gaps))
	low, high := minSigmaFraction*mean, maxSigmaFraction*mean
	sigma := min(max(sqrt(variance), low), high)
	return policy.Phi(now-w.lastArrival, mean, sigma)
}

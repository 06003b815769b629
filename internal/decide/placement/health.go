// Package placement decides which server a request goes to: suspicion of servers from the gaps between probe answers, an
// even subset by the proxy's number, a choice between two, and the retry budget. It is pure; time comes as seconds.
package placement

import "hazelwheel/policy"

const (
	windowSize = 30
	// phiHalf is the suspicion above which a server is drawn half as often, phiOut the one above which it gets probes alone.
	phiHalf = 3.0
	phiOut  = 8.0
	// sigmaFloor and sigmaCap clamp sigma, as parts of the mean gap.
	sigmaFloor = 0.1
	sigmaCap   = 0.3
	// ProbeIntervalSeconds is the time between probes of a server, in seconds. The design asks for five at most.
	ProbeIntervalSeconds = 4.8
	// probeAgain is the time to the next probe of a server that failed lately, in seconds.
	probeAgain = 0.5
)

// window holds the gaps between a server's probe answers. It grows on arrivals alone.
type window struct {
	gaps   []float64
	next   int
	last   float64 // when the last answer came
	probes bool    // whether an answer came at all
}

// seed begins a window with the mean of others.
func (w *window) seed(now, mean float64) {
	w.gaps = append(w.gaps[:0], mean, mean, mean)
	w.next, w.last = len(w.gaps)%windowSize, now
}

// arrive takes a probe answer.
func (w *window) arrive(now float64) {
	gap := now - w.last
	if len(w.gaps) < windowSize {
		w.gaps = append(w.gaps, gap)
	} else {
		w.gaps[w.next] = gap
		w.next = (w.next + 1) % windowSize
	}
	w.last, w.probes = now, true
}

func (w *window) mean() float64 {
	sum := 0.0
	for _, gap := range w.gaps {
		sum += gap
	}
	return sum / float64(len(w.gaps))
}

// phi is the suspicion after the silence since the last answer.
func (w *window) phi(now float64) float64 {
	mean := w.mean()
	square := 0.0
	for _, gap := range w.gaps {
		square += (gap - mean) * (gap - mean)
	}
	variance := square / float64(len(w.gaps))
	low, high := sigmaFloor*mean, sigmaCap*mean
	sigma := min(max(sqrt(variance), low), high)
	return policy.Phi(now-w.last, mean, sigma)
}

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	gapWindowSize    = 30  // gaps kept for each member
	seedGaps         = 3   // gaps that a new or restarted host's window starts with
	minSigmaFraction = 0.1 // floor of sigma, as a part of the cadence; its cap is twice that
	phiSuspect       = 3.0 // above it a member is drawn half as often
	phiUnavailable   = 8.0 // above it a member gets probes and no traffic
)

// Phi is the suspicion after a silence: -log10 of the probability that a gap is still longer.
func Phi(silence, mean, sigma float64) float64 {
	x := (silence - mean) / (sigma * math.Sqrt2)
	if x > 20 { // erfc underflows; its asymptote does not
		return (x*x + math.Log(2*x*math.Sqrt(math.Pi))) / math.Ln10
	}
	return -math.Log10(0.5 * math.Erfc(x))
}

// measure takes the mean and the sigma of the window.
func (h *host) updateGapStats() {
	var sum, sq float64
	for _, g := range h.gaps {
		sum += float64(g)
		sq += float64(g * g)
	}
	h.gapMean = sum / float64(len(h.gaps))
	h.gapSigma = math.Sqrt(max(sq/float64(len(h.gaps))-h.gapMean*h.gapMean, 0))
}

// suspicion is phi of a member's silence, by the mean and the clamped sigma of its window.
func (b *Balancer) silencePhi(h *host) float64 {
	return Phi((b.now-h.lastAnswerAt)/h.currentCadence, h.gapMean, min(max(h.gapSigma, minSigmaFraction), 2*minSigmaFraction))
}

// doubt is what a member's silence and its refusals say against it. Danger: probes notice a dead host late,
// requests die on it. Two connections that fail in a row shut it out till an answer or for two seconds; this
// hurts a host that is only full.
func (b *Balancer) suspicion(h *host) (phi float64) {
	if b.now-h.connFailedAt < 2*probeIntervalSeconds {
		phi = (phiUnavailable + 1) / 2 * float64(h.connFailures)
	}
	if b.settings.ProbesEnabled {
		phi += b.silencePhi(h)
	}
	return phi
}

// readPhi reads every member's suspicion. Danger: when most members fall silent it is the network or
// this prober, and shutting all of them out would lose everything; then only a member that is worse
// than its peers is suspected. It hurts when most hosts really die: sends to them must fail first.
func (b *Balancer) updatePhi() {
	if b.now-b.phiUpdatedAt < max(0.01, 1e-5*float64(len(b.members))) { // Danger: thousands take long
		return
	}
	high, warm, sent, slow := 0, 0.0, 0.0, 0.0
	b.phiUpdatedAt, b.warmCapacity = b.now, 0
	for _, h := range b.members {
		slow += b.decayedLatencyRatio(h)
		if b.warmCapacity += b.capacityFraction(h); b.capacityFraction(h) >= 1 && h.phi <= phiUnavailable {
			warm, sent = warm+1, sent+h.previousWindowSent
		}
		if h.phi = b.suspicion(h); h.phi > phiUnavailable {
			high++
		}
	}
	b.warmMemberSent, b.meanLatencyRatio = sent/max(warm, 1), slow/float64(max(len(b.members), 1))
	if 2*high > len(b.members) {
		low := slices.MinFunc(b.members, func(x, y *host) int { return cmp.Compare(x.phi, y.phi) }).phi
		for _, h := range b.members {
			h.phi -= low
		}
	}
	b.groupMembers()
}

// candidate reads phi twice: above phiOut a member gets nothing, above phiCut it is drawn half as often.
func (b *Balancer) isCandidate(h *host) bool {
	return h.phi <= phiSuspect || h.phi <= phiUnavailable && b.rng.Uint64()&1 == 0
}

package policy

import (
	"cmp"
	"math"
	"slices"
)

// The failure detector is the phi accrual detector of N. Hayashibara, X. Défago, R. Yared and T. Katayama, "The phi accrual
// failure detector", SRDS 2004. Instead of a verdict it gives a suspicion level (phi) that grows with the time since a host's
// last answer, relative to the usual gaps between its answers, which are assumed to be normally distributed. Gaps are measured in
// cadences (probe intervals), since the cadence changes.
const (
	// gapWindowSize is how many gaps are kept for each member. A larger window gives a steadier estimate that adapts more slowly.
	gapWindowSize = 30
	// seedGaps is how many mean gaps a new window is filled with, so that mean and sigma are defined.
	seedGaps = 3
	// minSigmaFraction is the lower bound of sigma, in cadences; the upper bound is twice that. A higher lower bound tolerates
	// longer silences.
	minSigmaFraction = 0.1
	// phiSuspect is the level above which a member takes part in only half of the picks.
	phiSuspect = 3.0
	// phiUnavailable is the level above which a member gets only probes. A silence with phi 8 has a probability of 1e-8 at a
	// healthy host.
	phiUnavailable = 8.0
	// connFailureMemorySeconds is how long failed connections count against a host.
	connFailureMemorySeconds = 2 * probeIntervalSeconds
	// The shortest time between two updates of all levels is minPhiUpdateSeconds or, if that is longer, phiUpdateSecondsPerMember
	// times the number of members.
	minPhiUpdateSeconds       = 0.01
	phiUpdateSecondsPerMember = 1e-5
)

// Phi returns the suspicion level after a silence: -log10 of the probability that a gap of the normal distribution with mean
// and sigma is longer. All three are in the same unit.
func Phi(silence, mean, sigma float64) float64 {
	x := (silence - mean) / (sigma * math.Sqrt2)
	if x > 20 { // erfc underflows; its asymptote does not
		return (x*x + math.Log(2*x*math.Sqrt(math.Pi))) / math.Ln10
	}
	return -math.Log10(0.5 * math.Erfc(x))
}

// updateGapStats computes mean and sigma of the window of gaps, which must not be empty.
func (h *host) updateGapStats() {
	var sum, sumOfSquares float64
	for _, gap := range h.gaps {
		sum += float64(gap)
		sumOfSquares += float64(gap * gap)
	}
	h.gapMean = sum / float64(len(h.gaps))
	h.gapSigma = math.Sqrt(max(sumOfSquares/float64(len(h.gaps))-h.gapMean*h.gapMean, 0))
}

// silencePhi returns the suspicion level of the time since a member's last answer.
func (b *Balancer) silencePhi(h *host) float64 {
	sigma := min(max(h.gapSigma, minSigmaFraction), 2*minSigmaFraction)
	return Phi((b.now-h.lastAnswerAt)/h.currentCadence, h.gapMean, sigma)
}

// suspicion returns the suspicion level of a host by its silence and its failed connections.
//
// Probes detect a dead host only after some cadences, and the requests sent until then are lost. Two consecutive failed
// connections therefore make a host unavailable until it answers, or for connFailureMemorySeconds. The drawback is that a host is
// avoided, too, when only its accept queue is full.
func (b *Balancer) suspicion(h *host) (phi float64) {
	if b.now-h.connFailedAt < connFailureMemorySeconds {
		phi = (phiUnavailable + 1) / 2 * float64(h.connFailures)
	}
	if b.settings.ProbesEnabled {
		phi += b.silencePhi(h)
	}
	return phi
}

// updatePhi updates phi of all members and the averages over members that picks use, unless the last update was only a moment
// ago: with thousands of members, an update for each pick would take most of the CPU time.
func (b *Balancer) updatePhi() {
	if b.now-b.phiUpdatedAt < max(minPhiUpdateSeconds, phiUpdateSecondsPerMember*float64(len(b.members))) {
		return
	}
	unavailable := 0
	warmMembers, warmSent, latencyRatios := 0.0, 0.0, 0.0
	b.phiUpdatedAt = b.now
	b.warmCapacity = 0
	for _, h := range b.members {
		latencyRatios += b.decayedLatencyRatio(h)
		capacity := b.capacityFraction(h)
		b.warmCapacity += capacity
		if capacity >= 1 && h.phi <= phiUnavailable {
			warmMembers++
			warmSent += h.previousWindowSent
		}
		h.phi = b.suspicion(h)
		if h.phi > phiUnavailable {
			unavailable++
		}
	}
	b.warmMemberSent = warmSent / max(warmMembers, 1)
	b.meanLatencyRatio = latencyRatios / float64(max(len(b.members), 1))
	if 2*unavailable > len(b.members) {
		b.discountCommonPhi()
	}
	b.groupMembers()
}

// discountCommonPhi subtracts the lowest level of all members from each.
//
// When most members fall silent at once, the cause is probably the network or this process, and ejecting all of them would leave
// no host. Only members that are worse than the best one stay suspected. The drawback: when most hosts really fail at once,
// attempts at them must fail before they are avoided.
func (b *Balancer) discountCommonPhi() {
	lowest := slices.MinFunc(b.members, func(x, y *host) int { return cmp.Compare(x.phi, y.phi) }).phi
	for _, h := range b.members {
		h.phi -= lowest
	}
}

// isCandidate returns whether a member takes part in a pick. Between phiSuspect and phiUnavailable it does so with a probability
// of one half; only then a random number is drawn.
func (b *Balancer) isCandidate(h *host) bool {
	return h.phi <= phiSuspect || h.phi <= phiUnavailable && b.rng.Uint64()&1 == 0
}

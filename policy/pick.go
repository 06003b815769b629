package policy

import (
	"math"
	"slices"
)

const (
	warmingOptimism           = 1.4  // a cold host probably has so many times the least that it must have
	hintedTimeFactor          = 0.85 // and a hinted one shorter by so much, or heavy requests are all refused
	queueGrowthFactor         = 1.5  // a line probably grows before a request comes to its head
	guessedTimeFactor         = 1.3  // a guessed time may well be so many times longer
	crossZoneCostWeight       = 20.0 // how much dearer a host of another zone is, for the price of crossing
	costJitterFraction        = 0.12 // costs that differ by less are alike, or all proxies would go to the same host
	maxScannedMembers         = 32   // members that are looked at for each pick
	scanPauseSecondsPerMember = 2e-6 // for each member: between two looks at all where they are more
)

// slowness is how much slower than the others a host is taken to be by its answers. Danger: in a flood all
// are late, by lines that are counted already; held against each, nearly all would be refused.
func (b *Balancer) slowdown(h *host) float64 {
	return max(b.decayedLatencyRatio(h)/max(b.meanLatencyRatio, 1), 1)
}

// expect is the time that a host no slower than usual should take: the part hinted at, and the part guessed.
func (b *Balancer) expectedTimes(h *host, r *request) (hinted, guessed float64) {
	strength := min(1, warmingOptimism*b.capacityFraction(h))
	if !b.pollsReports {
		return 0, b.classMeanSeconds[r.Request.Class]/strength + queueGrowthFactor*b.queueDelay(h)
	}
	guessed = b.serviceSeconds * b.estimatedLoad(h)
	if r.HasWork {
		return b.serviceSeconds * r.relativeWork / strength, guessed / strength
	}
	return 0, (guessed + b.serviceSeconds) / strength
}

// cost orders the hosts that could take a request.
func (b *Balancer) loadCost(h *host, r *request) float64 {
	if b.pollsReports {
		hinted, guessed := b.expectedTimes(h, r)
		return (hinted + guessed) * b.slowdown(h)
	}
	ahead := float64(len(h.inFlight)) + 1 + b.queueDelay(h)/b.classMeanSeconds[r.Request.Class]
	if b.settings.SizesComparable && h.Size > 0 {
		ahead /= h.Size
	}
	return ahead * b.slowdown(h) * b.kindFactors.factor(h.Kind) / b.capacityFraction(h)
}

// fits tells whether a host can be expected to answer within the aim. Danger: a limit below one shuts hosts.
func (b *Balancer) meetsTarget(h *host, r *request) bool {
	limit := max(h.concurrencyLimit*b.capacityFraction(h), 1)
	if b.now < h.backoffUntil[r.Request.Class] || !b.pollsReports && float64(len(h.inFlight)) >= limit {
		return false
	}
	hinted, guessed := b.expectedTimes(h, r)
	return b.now+(hintedTimeFactor*hinted+guessedTimeFactor*guessed)*b.slowdown(h) <= r.targetAt
}

// pick returns the best host for a request, nil if none can answer it in time; of many it draws a few.
func (b *Balancer) pickHost(r *request) *host {
	b.updatePhi()
	if len(b.members) > maxScannedMembers && !b.pollsReports && len(r.attempts) == 0 {
		if h := b.pickFromGroups(r); h != nil || b.now < b.nextScanAt {
			return h
		}
		b.nextScanAt = b.now + scanPauseSecondsPerMember*float64(len(b.members))
		b.lastScanned = b.pickBest(r, false) // where most are full, the next requests may go there, too
		return b.lastScanned
	}
	if h := b.pickBest(r, b.pollsReports); h != nil || b.pollsReports && slices.ContainsFunc(b.members, b.hasFreshReport) {
		return h
	}
	return b.pickBest(r, false)
}

// draw returns the best of some draws from each set of members; what one set lacks is drawn from the next.
func (b *Balancer) pickFromGroups(r *request) (best *host) {
	least, want := math.Inf(1), 0
	good := func(h *host) bool {
		c := b.candidateCost(r, h)
		if c < least {
			best, least = h, c
		}
		return !math.IsInf(c, 1)
	}
	if b.lastScanned != nil && b.lastScanned.isMember {
		good(b.lastScanned)
	}
	for set, more := range [...]int{groupNear: 3, groupFar: 1, groupWarming: 1} {
		want += more
		for tries := 3 * want; tries > 0 && want > 0 && more > 0; tries-- {
			if h := b.groups.draw(b.rng, set); h == nil {
				break
			} else if good(h) {
				want--
			}
		}
	}
	return best
}

// weigh returns what a request would cost at a host; infinity: it may not go there, or comes too late.
func (b *Balancer) candidateCost(r *request, h *host) float64 {
	if !b.mayAttempt(r, h) || !b.pollsReports && !b.isCandidate(h) || h.phi > phiUnavailable || !b.meetsTarget(h, r) {
		return math.Inf(1)
	}
	cost := b.loadCost(h, r) * (1 + costJitterFraction*b.rng.Float64())
	if h.Zone != b.settings.Zone {
		cost *= 1 + crossZoneCostWeight*b.settings.CrossZonePrice
	}
	return cost
}

func (b *Balancer) pickBest(r *request, fresh bool) *host {
	var best, lowest *host
	least := math.Inf(1)
	for _, h := range b.members {
		if (lowest == nil || h.phi < lowest.phi) && b.mayAttempt(r, h) {
			lowest = h
		}
		if fresh && !b.hasFreshReport(h) {
			continue
		}
		if c := b.candidateCost(r, h); c < least {
			best, least = h, c
		}
	}
	if best == nil && lowest != nil && lowest.phi > phiUnavailable && b.meetsTarget(lowest, r) {
		return lowest // all are out: the least suspected gets the traffic
	}
	return best
}

// sort parts the members by what they are good for, where they are too many to look at each for a pick.
func (b *Balancer) groupMembers() {
	b.groups.clear()
	b.groups.updateMeanSize(b.members, b.settings.SizesComparable)
	for i := 0; i < len(b.members) && len(b.members) > maxScannedMembers; i++ {
		switch h := b.members[i]; {
		case h.isWithdrawn || h.phi > phiUnavailable:
			b.groups.add(h, groupExcluded)
		case b.capacityFraction(h) < 1:
			b.groups.add(h, groupWarming)
		case h.Zone == b.settings.Zone || b.settings.CrossZonePrice == 0:
			b.groups.add(h, groupNear)
		default:
			b.groups.add(h, groupFar)
		}
	}
}

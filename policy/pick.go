package policy

import (
	"math"
	"slices"
)

const (
	// warmingOptimism is the factor by which a warming host's capacity is assumed to exceed the least that it must have.
	warmingOptimism = 1.4
	// hintedTimeFactor is the factor applied to the time that a request's own work should take. With 1 or more, all heavy requests
	// whose work is known would be refused.
	hintedTimeFactor = 0.85
	// guessedTimeFactor is the safety factor applied to estimated times. A higher one refuses more requests and answers fewer
	// late.
	guessedTimeFactor = 1.3
	// queueGrowthFactor is the factor by which a queue is assumed to grow before a request reaches its head.
	queueGrowthFactor = 1.5
	// crossZoneCostWeight converts CrossZonePrice into a relative increase of the cost of a host in another zone.
	crossZoneCostWeight = 20.0
	// costJitterFraction randomizes costs by up to this fraction. Without it, all proxies would pick the same host whenever one is
	// slightly better than the others.
	costJitterFraction = 0.12
	// maxScannedMembers is the largest number of members for which each pick compares all of them.
	maxScannedMembers = 32
	// scanPauseSecondsPerMember, times the number of members, is the least time between two comparisons of all members if there
	// are more than maxScannedMembers.
	scanPauseSecondsPerMember = 2e-6
)

// slowdown returns the factor by which a host is slower than the others, at least 1. It is relative to the mean of all members:
// in an overload all answers are late because of queues, which the expected times include already. If that also counted against
// each host, nearly all requests would be refused.
func (b *Balancer) slowdown(h *host) float64 {
	return max(b.decayedLatencyRatio(h)/max(b.meanLatencyRatio, 1), 1)
}

// expectedTimes returns the seconds in which a host without slowdown should answer a request. hinted is the part that follows
// from the request's own work, guessed the part that is estimated.
func (b *Balancer) expectedTimes(h *host, r *request) (hinted, guessed float64) {
	capacity := min(1, warmingOptimism*b.capacityFraction(h))
	if !b.pollsReports {
		return 0, b.classMeanSeconds[r.Request.Class]/capacity + queueGrowthFactor*b.queueDelay(h)
	}
	guessed = b.serviceSeconds * b.estimatedLoad(h)
	if r.HasWork {
		return b.serviceSeconds * r.relativeWork / capacity, guessed / capacity
	}
	return 0, (guessed + b.serviceSeconds) / capacity
}

// loadCost returns the cost by which hosts are compared for a request: the expected time where load reports are polled, otherwise
// a weighted number of own attempts in flight.
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

// meetsTarget returns whether a host is expected to answer a request by its target, and new requests to it are not paused by a
// backoff. A concurrency limit below 1 would exclude a host for good, so one attempt is always allowed.
func (b *Balancer) meetsTarget(h *host, r *request) bool {
	limit := max(h.concurrencyLimit*b.capacityFraction(h), 1)
	if b.now < h.backoffUntil[r.Request.Class] || !b.pollsReports && float64(len(h.inFlight)) >= limit {
		return false
	}
	hinted, guessed := b.expectedTimes(h, r)
	return b.now+(hintedTimeFactor*hinted+guessedTimeFactor*guessed)*b.slowdown(h) <= r.targetAt
}

// pickHost returns the host for a request, or nil if none can answer it by its target. Up to maxScannedMembers members are all
// compared. Of more members, a few random ones are compared (see pickFromGroups), and all of them only for a retry or if none of
// the random ones is suitable.
func (b *Balancer) pickHost(r *request) *host {
	b.updatePhi()
	if len(b.members) > maxScannedMembers && !b.pollsReports && len(r.attempts) == 0 {
		h := b.pickFromGroups(r)
		if h != nil || b.now < b.nextScanAt {
			return h
		}
		b.nextScanAt = b.now + scanPauseSecondsPerMember*float64(len(b.members))
		b.lastScanned = b.pickBest(r, false) // while most hosts are busy, the next requests try this one first
		return b.lastScanned
	}
	h := b.pickBest(r, b.pollsReports)
	if h != nil || b.pollsReports && slices.ContainsFunc(b.members, b.hasFreshReport) {
		return h
	}
	return b.pickBest(r, false)
}

// pickFromGroups returns the cheapest of a few members drawn at random, as in "the power of two choices" (M. Mitzenmacher, IEEE
// Transactions on Parallel and Distributed Systems 12, 2001): three from the near group, and one each from the far and the
// warming group. If a group can't supply enough, the next one supplies the rest.
func (b *Balancer) pickFromGroups(r *request) (best *host) {
	lowestCost := math.Inf(1)
	consider := func(h *host) (usable bool) {
		cost := b.candidateCost(r, h)
		if cost < lowestCost {
			best = h
			lowestCost = cost
		}
		return !math.IsInf(cost, 1)
	}
	if b.lastScanned != nil && b.lastScanned.isMember {
		consider(b.lastScanned)
	}
	wanted := 0
	for group, quota := range [...]int{groupNear: 3, groupFar: 1, groupWarming: 1} {
		wanted += quota
		for draws := 3 * wanted; draws > 0 && wanted > 0 && quota > 0; draws-- {
			h := b.groups.draw(b.rng, memberGroup(group))
			if h == nil {
				break
			}
			if consider(h) {
				wanted--
			}
		}
	}
	return best
}

// candidateCost returns the randomized cost of sending a request to a host, or +Inf if that is not allowed or would miss the
// target.
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

// pickBest returns the cheapest member, with onlyFresh the cheapest of those with a fresh report. If all members that the request
// may go to are unavailable, it returns the least suspected one, since some host has to get the traffic.
func (b *Balancer) pickBest(r *request, onlyFresh bool) *host {
	var best, leastSuspected *host
	lowestCost := math.Inf(1)
	for _, h := range b.members {
		if (leastSuspected == nil || h.phi < leastSuspected.phi) && b.mayAttempt(r, h) {
			leastSuspected = h
		}
		if onlyFresh && !b.hasFreshReport(h) {
			continue
		}
		if cost := b.candidateCost(r, h); cost < lowestCost {
			best = h
			lowestCost = cost
		}
	}
	if best == nil && leastSuspected != nil && leastSuspected.phi > phiUnavailable && b.meetsTarget(leastSuspected, r) {
		return leastSuspected
	}
	return best
}

// groupMembers assigns the members to the groups from which pickFromGroups draws, if there are more than maxScannedMembers.
func (b *Balancer) groupMembers() {
	b.groups.clear()
	b.groups.updateMeanSize(b.members, b.settings.SizesComparable)
	if len(b.members) <= maxScannedMembers {
		return
	}
	for _, h := range b.members {
		switch {
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

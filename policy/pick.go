package policy

import (
	"math"
	"slices"
)

const (
	// warmingOptimism is by how much a warming host's capacity is taken to exceed the least that it must have.
	warmingOptimism = 1.4
	// hintedTimeFactor is the margin on the time that a request's own work should take. Danger: from 1 on, heavy requests whose
	// work is known would all be refused.
	hintedTimeFactor = 0.85
	// guessedTimeFactor is the margin on estimated times; more refuses sooner and answers fewer requests late.
	guessedTimeFactor = 1.3
	// queueGrowthFactor is by how much a queue is taken to grow before a request comes to its head.
	queueGrowthFactor = 1.5
	// crossZoneCostWeight converts CrossZonePrice into a relative increase of the cost of a host in another zone.
	crossZoneCostWeight = 20.0
	// costJitterFraction randomizes costs by up to this fraction. Danger: without it all proxies would pick the same host
	// whenever one is slightly better than the others.
	costJitterFraction = 0.12
	// maxScannedMembers is the largest number of members that are compared one by one for each pick.
	maxScannedMembers = 32
	// scanPauseSecondsPerMember, for each member, is the least time between two comparisons of all where there are more.
	scanPauseSecondsPerMember = 2e-6
)

// slowdown returns by what factor a host is slower than the others, at least 1. Danger: in an overload all answers are late by
// queues that the expected times contain already; counted against each host again, nearly all requests would be refused. So
// the ratio is taken relative to the mean of all members.
func (b *Balancer) slowdown(h *host) float64 {
	return max(b.decayedLatencyRatio(h)/max(b.meanLatencyRatio, 1), 1)
}

// expectedTimes returns the seconds in which a host without slowdown should answer a request: hinted is the part that follows
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

// loadCost returns the cost by which hosts are compared for a request: the expected time where load reports are polled, else a
// weighted number of own attempts in flight.
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

// meetsTarget returns whether a host can be expected to answer a request by its target, and is not backed off from. Danger: a
// concurrency limit below 1 would shut a host out for good, so at least one attempt is always allowed.
func (b *Balancer) meetsTarget(h *host, r *request) bool {
	limit := max(h.concurrencyLimit*b.capacityFraction(h), 1)
	if b.now < h.backoffUntil[r.Request.Class] || !b.pollsReports && float64(len(h.inFlight)) >= limit {
		return false
	}
	hinted, guessed := b.expectedTimes(h, r)
	return b.now+(hintedTimeFactor*hinted+guessedTimeFactor*guessed)*b.slowdown(h) <= r.targetAt
}

// pickHost returns the host for a request, or nil if none can answer it by its target. Up to maxScannedMembers members are
// compared one by one; of more, a few random ones (see pickFromGroups), and all only for a retry or when the draws find none.
func (b *Balancer) pickHost(r *request) *host {
	b.updatePhi()
	if len(b.members) > maxScannedMembers && !b.pollsReports && len(r.attempts) == 0 {
		h := b.pickFromGroups(r)
		if h != nil || b.now < b.nextScanAt {
			return h
		}
		b.nextScanAt = b.now + scanPauseSecondsPerMember*float64(len(b.members))
		b.lastScanned = b.pickBest(r, false) // while most hosts are full, the next requests try this one first
		return b.lastScanned
	}
	h := b.pickBest(r, b.pollsReports)
	if h != nil || b.pollsReports && slices.ContainsFunc(b.members, b.hasFreshReport) {
		return h
	}
	return b.pickBest(r, false)
}

// pickFromGroups returns the cheapest of a few members drawn at random, as in "the power of two choices" (M. Mitzenmacher, IEEE
// Transactions on Parallel and Distributed Systems 12, 2001): three of the near group, one each of the far and the warming
// one. What a group cannot supply is drawn from the next.
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

// candidateCost returns the randomized cost of a request at a host; +Inf: it may not go there, or would be answered too late.
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

// pickBest returns the cheapest member, with onlyFresh among those with a fresh report. When all members that the request may
// go to are unavailable, it is the least suspected one: some host has to get the traffic.
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

// groupMembers puts the members into the groups from which pickFromGroups draws, where there are enough members for that.
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

package maintenance

import (
	"cmp"
	"math"
)

// Order is the order in which the pending servers of a plan drain. docs/design/works.md states the cost of each.
type Order uint8

// The orders. A server that is unavailable anyway comes first in all but AsListed.
const (
	LookAhead   Order = iota // servers of critical sites first (see candidate.isCriticalSite), then least impact first
	LeastImpact              // the server whose drain has the least impact on the fleet now comes first
	LeastLoad                // least loaded first
	SitesInTurn              // a server of the site with the most pending servers first
	AsListed                 // in the order of the plan
)

// maxWarmUpWaitSeconds bounds how long countAway counts a server that warms up without a plan: one that gets no requests may stay in
// slow start for ever.
const maxWarmUpWaitSeconds = 120.0

// unavailableImpact is the impact of draining a server that does not serve anyway.
const unavailableImpact = -1

// candidate is a pending server that could drain now.
type candidate struct {
	server         *Server
	position       int // in the plan
	pendingAtSite  int
	impact         float64
	load           float64
	isCriticalSite bool // the pending servers of its site alone, limited by MaxPerSite, take at least as long as all pending ones
}

// countAway counts the servers that are out of service or warming up, by any plan or by themselves. Lost ones are not waited for.
func (c *Coordinator) countAway(state *State) (n int) {
	out := state.outOfService()
	for _, stage := range out {
		if stage != Lost {
			n++
		}
	}
	for _, server := range c.fleet.servers {
		if _, isOut := out[server.Server]; !isOut && server.warmingUpSince != 0 && c.now-server.warmingUpSince < maxWarmUpWaitSeconds && !server.isUnavailable() {
			n++
		}
	}
	return n
}

// chooseNext returns the server of a plan that drains next, nil if none can drain now.
func (c *Coordinator) chooseNext(state *State, p *Plan) *Server {
	if n := c.countAway(state); n >= p.Spec.MaxConcurrent || n > 0 && c.isDegraded(p) {
		return nil
	}
	out := state.outOfService()
	pendingAtSite, pending := map[string]int{}, 0
	for i := range p.Servers {
		if server := &p.Servers[i]; server.Stage == Pending {
			pendingAtSite[server.Site]++
			pending++
		}
	}
	required := c.fleet.requiredCapacity(p.Spec.MinCapacity, drainLoadRatio)
	var best *candidate
	for i := range p.Servers {
		server := &p.Servers[i]
		if server.Stage != Pending || state.countOutAtSite(server.Site) >= p.Spec.maxPerSite() {
			continue
		}
		observed := c.fleet.server(server.Name)
		_, isOut := out[server.Name] // Lost by an earlier plan
		isUnavailable := isOut || observed == nil || observed.isUnavailable()
		if !isUnavailable && c.fleet.remainingCapacity(out, server.Name) < required-capacityTolerance {
			continue
		}
		next := &candidate{server: server, position: i, pendingAtSite: pendingAtSite[server.Site]}
		if isUnavailable && c.settings.Order != AsListed {
			next.impact = unavailableImpact
		} else if observed != nil {
			next.impact, next.load = c.fleet.impact(out, observed), observed.CompletedPerSecond
			// The servers of one site drain one after the other, so a critical site is started first.
			next.isCriticalSite = float64(next.pendingAtSite)/float64(p.Spec.maxPerSite()) >= float64(pending)/float64(p.Spec.MaxConcurrent)
		}
		if best == nil || c.drainsBefore(next, best) {
			best = next
		}
	}
	if best == nil {
		return nil
	}
	return best.server
}

// drainsBefore reports whether a drains before b, by the Order of the settings.
func (c *Coordinator) drainsBefore(a, b *candidate) bool {
	byAvailability := trueFirst(a.impact < 0, b.impact < 0)
	byImpact := a.roundedImpact() - b.roundedImpact()
	byPendingAtSite := b.pendingAtSite - a.pendingAtSite
	byLoad := cmp.Compare(a.load, b.load)
	byPosition := a.position - b.position
	switch c.settings.Order {
	case AsListed:
		return byPosition < 0
	case SitesInTurn:
		return cmp.Or(byAvailability, byPendingAtSite, byPosition) < 0
	case LeastLoad:
		return cmp.Or(byAvailability, byLoad, byPosition) < 0
	case LeastImpact:
		return cmp.Or(byImpact, byLoad, byPosition) < 0
	}
	byCriticalSite := trueFirst(a.isCriticalSite && a.impact >= 0, b.isCriticalSite && b.impact >= 0)
	return cmp.Or(byAvailability, byCriticalSite, byImpact, byPendingAtSite, byLoad, byPosition) < 0
}

// roundedImpact returns the impact rounded to fiftieths, so that small differences leave the choice to the other criteria.
func (c *candidate) roundedImpact() int { return int(math.Round(50 * c.impact)) }

// trueFirst compares two conditions for sorting: -1 if only a holds, 1 if only b holds, 0 otherwise.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// impact returns how much the fleet loses if a server drains now. It is the sum of two fractions: of the capacity of its site or of
// its type that is then out of service, whichever is higher, and of the load that the server has now.
func (f *fleetModel) impact(out map[string]Stage, server *observedServer) float64 {
	var siteCapacity, siteCapacityOut, typeCapacity, typeCapacityOut, load float64
	for _, other := range f.servers {
		capacity := f.capacity(other)
		_, isOut := out[other.Server]
		isOut = isOut || other.isUnavailable() || other == server
		load += other.CompletedPerSecond
		if other.Site == server.Site {
			if siteCapacity += capacity; isOut {
				siteCapacityOut += capacity
			}
		}
		if other.Type == server.Type {
			if typeCapacity += capacity; isOut {
				typeCapacityOut += capacity
			}
		}
	}
	impact := max(siteCapacityOut/siteCapacity, typeCapacityOut/typeCapacity)
	if load > 0 {
		impact += server.CompletedPerSecond / load
	}
	return impact
}

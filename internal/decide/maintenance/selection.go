package maintenance

import (
	"cmp"
	"math"
)

// Order is a way to choose which box leaves next.
type Order uint8

// The ways. docs/design/works.md has what they cost.
const (
	LookAhead   Order = iota // what hurts least now, but a site that alone takes as long as all the rest first
	LeastImpact              // what hurts least now
	LeastLoad                // who has least to do now
	SitesInTurn              // the sites in turn
	AsListed                 // as they are named
)

// coldMostS is how long a box is waited for that is cold by itself. Danger: one that nothing is sent to may stay cold for ever.
const maxWarmUpWaitSeconds = 120.0

// away counts boxes that are out or come back, by any plan or by themselves. What is lost is not waited for.
func (c *Coordinator) countAway(s *State) (n int) {
	out := s.outOfService()
	for _, stage := range out {
		if stage != Lost {
			n++
		}
	}
	for _, b := range c.fleet.servers {
		if _, ours := out[b.Server]; !ours && b.warmingUpSince != 0 && c.now-b.warmingUpSince < maxWarmUpWaitSeconds && !b.isUnavailable() {
			n++
		}
	}
	return n
}

// choose returns the box of a plan that leaves next; nil: none can now.
func (c *Coordinator) chooseNext(s *State, p *Plan) *Server {
	if n := c.countAway(s); n >= p.Spec.MaxConcurrent || n > 0 && c.isDegraded(p) {
		return nil
	}
	out := s.outOfService()
	left := map[string]int{} // that wait, by site
	waiting := 0
	for i := range p.Servers {
		if b := &p.Servers[i]; b.Stage == Pending {
			left[b.Site]++
			waiting++
		}
	}
	need := c.fleet.requiredCapacity(p.Spec.MinCapacity, drainLoadRatio)
	var best *candidate
	for i := range p.Servers {
		b := &p.Servers[i]
		if b.Stage != Pending || s.countOutAtSite(b.Site) >= p.Spec.maxPerSite() {
			continue
		}
		seen := c.fleet.server(b.Name)
		_, gone := out[b.Name] // lost by a plan before
		missing := gone || seen == nil || seen.isUnavailable()
		if !missing && c.fleet.remainingCapacity(out, b.Name) < need-1e-9 {
			continue
		}
		k := &candidate{server: b, position: i, pendingAtSite: left[b.Site]}
		if missing && c.settings.Order != AsListed {
			k.impact = -1
		} else if seen != nil {
			k.impact, k.load = c.fleet.impact(out, seen), seen.CompletedPerSecond
			// A site that takes as long as all that is left, or longer, has its boxes wait for each other: it goes first.
			k.isCriticalSite = float64(left[b.Site])/float64(p.Spec.maxPerSite()) >= float64(waiting)/float64(p.Spec.MaxConcurrent)
		}
		if best == nil || c.drainsBefore(k, best) {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	return best.server
}

type candidate struct {
	server         *Server
	position       int     // in the plan
	pendingAtSite  int     // boxes that wait at its site
	impact         float64 // below 0: it does not serve as it is
	load           float64
	isCriticalSite bool
}

// before tells whether a box leaves before another.
func (c *Coordinator) drainsBefore(a, b *candidate) bool {
	hurts := func(k *candidate) int { return int(math.Round(50 * k.impact)) }
	ahead := func(k *candidate) int {
		if k.isCriticalSite && k.impact >= 0 {
			return 0
		}
		return 1
	}
	missing := func(k *candidate) int {
		if k.impact < 0 {
			return 0
		}
		return 1
	}
	switch c.settings.Order {
	case AsListed:
		return a.position < b.position
	case SitesInTurn:
		return cmp.Or(missing(a)-missing(b), b.pendingAtSite-a.pendingAtSite, a.position-b.position) < 0
	case LeastLoad:
		return cmp.Or(missing(a)-missing(b), cmp.Compare(a.load, b.load), a.position-b.position) < 0
	case LeastImpact:
		return cmp.Or(hurts(a)-hurts(b), cmp.Compare(a.load, b.load), a.position-b.position) < 0
	}
	return cmp.Or(missing(a)-missing(b), ahead(a)-ahead(b), hurts(a)-hurts(b), b.pendingAtSite-a.pendingAtSite, cmp.Compare(a.load, b.load), a.position-b.position) < 0
}

// hurt is what the fleet loses if a box leaves now: the part of its site and of its kind that is then out, and its part of the load.
func (f *fleetModel) impact(out map[string]Stage, b *observedServer) float64 {
	var site, siteOut, kind, kindOut, load float64
	for _, o := range f.servers {
		w := f.capacity(o)
		_, gone := out[o.Server]
		gone = gone || o.isUnavailable() || o == b
		load += o.CompletedPerSecond
		if o.Site == b.Site {
			if site += w; gone {
				siteOut += w
			}
		}
		if o.Type == b.Type {
			if kind += w; gone {
				kindOut += w
			}
		}
	}
	h := max(siteOut/site, kindOut/kind)
	if load > 0 {
		h += b.CompletedPerSecond / load
	}
	return h
}

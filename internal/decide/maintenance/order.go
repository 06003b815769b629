package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
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

// fleet is what has been seen of all boxes and of the load.
type fleetModel struct {
	now          float64
	servers      []*observedServer // by name
	completed    movingAverage     // requests a second, over
	shortLoad    movingAverage     // some seconds,
	longLoad     movingAverage     // a minute
	usualLoad    movingAverage     // and longer
	rejected     movingAverage     // a second, over some seconds
	staleMembers int
	reporters    int
	baseline     rejectionBaseline
}

type observedServer struct {
	ServerStatus
	lastListedAt      float64 // when somebody had it on a list
	unresponsiveSince float64 // since when most hold it for silent, or none lists it; 0: they don't
	warmingUpSince    float64
}

// average forgets what is older than some seconds, gradually.
type movingAverage struct {
	windowSeconds, sum, weight float64
}

func (a *movingAverage) add(x, dt float64) {
	part := 1 - math.Exp(-dt/a.windowSeconds)
	a.sum += part * (x - a.sum)
	a.weight += part * (1 - a.weight)
}

// value is the mean of what was added, of the latest the most.
func (a *movingAverage) value() float64 { return a.sum / max(a.weight, 1e-9) }

// Seconds that averages go over, and how far ahead the trend is followed.
const (
	shortWindowSeconds = 8.0
	longWindowSeconds  = 60.0
	usualWindowSeconds = 400.0
	trendSeconds       = 60.0
	drainLoadRatio     = 1.15 // more load than usual that is no rise yet, when a box is to leave,
	giveBackLoadRatio  = 1.3  // and when boxes are out
	minRatePerSecond   = 1.0  // requests a second of which no part is taken
)

// hear takes what is said of boxes, and whether any box is out.
func (f *fleetModel) observe(now, dt float64, r *FleetSnapshot, out bool) {
	if f.now = now; dt <= 0 || dt > longWindowSeconds { // it is the first one, or none was asked for meanwhile
		f.completed, f.shortLoad, f.longLoad, f.usualLoad, f.rejected, f.baseline, dt = movingAverage{}, movingAverage{}, movingAverage{}, movingAverage{}, movingAverage{}, rejectionBaseline{}, 1
	}
	f.completed.windowSeconds, f.shortLoad.windowSeconds, f.longLoad.windowSeconds, f.usualLoad.windowSeconds, f.rejected.windowSeconds = 4, shortWindowSeconds, longWindowSeconds, usualWindowSeconds, 4
	for _, a := range []*movingAverage{&f.completed, &f.shortLoad, &f.longLoad, &f.usualLoad} {
		a.add(r.Report.CompletedPerSecond, dt)
	}
	f.rejected.add(r.Report.RejectedPerSecond, dt)
	f.baseline.observe(now, dt, out, &r.Report)
	f.staleMembers, f.reporters = r.Report.StaleMembers, len(r.Report.Reporters)
	for _, b := range f.servers {
		b.ListedBy = 0
	}
	for _, s := range r.Report.Servers {
		i, known := slices.BinarySearchFunc(f.servers, s.Server, func(b *observedServer, name string) int { return cmp.Compare(b.Server, name) })
		if !known {
			f.servers = slices.Insert(f.servers, i, &observedServer{lastListedAt: now})
		}
		f.servers[i].ServerStatus = s
	}
	for _, b := range f.servers {
		if b.ListedBy > 0 {
			b.lastListedAt = now
		}
		if !b.isResponsive() {
			b.unresponsiveSince = cmp.Or(b.unresponsiveSince, now)
		} else {
			b.unresponsiveSince = 0
		}
		if 2*b.WarmingUpBy > b.ListedBy && b.ListedBy > 0 {
			b.warmingUpSince = cmp.Or(b.warmingUpSince, now)
		} else {
			b.warmingUpSince = 0
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(b *observedServer) bool { return now-b.lastListedAt > lostSeconds })
}

func (b *observedServer) isResponsive() bool {
	return b.ListedBy > 0 && 2*b.UnresponsiveBy <= b.ListedBy
}

// missing tells whether a box does not serve now, though no plan has it out.
func (b *observedServer) isUnavailable() bool {
	return !b.isResponsive() || 2*b.DrainingBy > b.ListedBy || 2*b.CordonedBy > b.ListedBy
}

// missing tells whether a box does not serve as it is, so that to give it back would help nobody.
func (f *fleetModel) isUnavailable(box string) bool {
	b := f.server(box)
	return b == nil || b.isUnavailable()
}

func (f *fleetModel) server(name string) *observedServer {
	i, known := slices.BinarySearchFunc(f.servers, name, func(b *observedServer, name string) int { return cmp.Compare(b.Server, name) })
	if !known {
		return nil
	}
	return f.servers[i]
}

// dumb tells whether a box is on lists and most hold it for silent. Danger: one that came back from work dead must not be followed
// by the next.
func (f *fleetModel) isUnresponsive(box string) bool {
	b := f.server(box)
	return b != nil && b.ListedBy > 0 && 2*b.UnresponsiveBy > b.ListedBy
}

// weight is a box's part in the capacity, as against others'.
func (f *fleetModel) capacity(b *observedServer) float64 {
	if slices.ContainsFunc(f.servers, func(b *observedServer) bool { return b.Capacity <= 0 }) {
		return 1
	}
	return b.Capacity
}

// keeps tells whether each box of a plan can leave at all beside the part that must stay.
func (f *fleetModel) checkMinCapacity(boxes []Server, keep float64) error {
	total := 0.0
	for _, b := range f.servers {
		total += f.capacity(b)
	}
	for _, b := range boxes {
		if seen := f.server(b.Name); seen != nil && (total-f.capacity(seen))/total < keep-1e-9 {
			return fmt.Errorf("keep: without %s %.2f of the capacity is left, less than %g", b.Name, (total-f.capacity(seen))/total, keep)
		}
	}
	return nil
}

// rise is how much more load there is, or will be soon, than usual.
func (f *fleetModel) loadRatio() float64 {
	if f.usualLoad.value() < minRatePerSecond {
		return 1
	}
	soon := f.shortLoad.value()
	if slope := (f.shortLoad.value() - f.longLoad.value()) / (longWindowSeconds - shortWindowSeconds); slope > 0 {
		soon += slope * trendSeconds
	}
	return soon / f.usualLoad.value()
}

// need is the part of the capacity that must stay for a plan. Danger: what its operator has named is for the usual load.
func (f *fleetModel) requiredCapacity(keep, tolerated float64) float64 {
	if r := f.loadRatio(); r > tolerated {
		return min(keep*r, 1)
	}
	return keep
}

// lostSite returns the name of a site most of whose boxes have just come to be silent or are on no list any more; empty: there is none.
func (f *fleetModel) lostSite(out map[string]Stage) string {
	all, gone := map[string]int{}, map[string]int{}
	for _, b := range f.servers {
		all[b.Site]++
		if _, ours := out[b.Server]; !ours && b.unresponsiveSince != 0 && f.now-b.unresponsiveSince < lostSeconds {
			gone[b.Site]++
		}
	}
	for _, b := range f.servers { // in the order of names, so that the answer is always the same
		if n := gone[b.Site]; 2*n > all[b.Site] {
			return b.Site
		}
	}
	return ""
}

// out returns the boxes that are out by any plan, or come back, with their stage.
func (s *State) outOfService() map[string]Stage {
	out := map[string]Stage{}
	for i := range s.Plans {
		for _, b := range s.Plans[i].Servers {
			if b.Stage.IsCordoned() || b.Stage == WarmingUp {
				out[b.Name] = b.Stage
			}
		}
	}
	return out
}

// staying returns the part of the capacity that serves, if one box more (empty: none) leaves.
func (f *fleetModel) remainingCapacity(out map[string]Stage, less string) float64 {
	total, left := 0.0, 0.0
	for _, b := range f.servers {
		w := f.capacity(b)
		total += w
		if _, gone := out[b.Server]; !gone && b.Server != less && !b.isUnavailable() {
			left += w
		}
	}
	if total == 0 {
		return 0
	}
	return left / total
}

// wrong tells what is so bad for a plan that boxes which are not worked on yet are given back; empty: nothing is.
func (c *Coordinator) giveBackReason(p *Plan) string {
	if why := c.faultReason(p, 1); why != "" {
		return why
	}
	part, need := c.fleet.remainingCapacity(c.committed.State.outOfService(), ""), c.fleet.requiredCapacity(p.Spec.MinCapacity, giveBackLoadRatio)
	if part < need-1e-9 {
		return fmt.Sprintf("%.2f of the capacity serves, %.2f must", part, need)
	}
	return ""
}

// troubled tells what of the fleet is in a plan's way, whichever boxes were out, with the part of Refusing that is none yet.
func (c *Coordinator) faultReason(p *Plan, tolerated float64) string {
	f := &c.fleet
	if part, most := f.rejectionFraction(), c.maxRejection(p, tolerated); part > most {
		return fmt.Sprintf("%.3f of the requests are refused or fail, at most %.3f may; by itself the fleet refuses %.3f", part, most, c.baselineRejection(p))
	}
	if site := f.lostSite(c.committed.State.outOfService()); site != "" {
		return fmt.Sprintf("site %s is lost", site)
	}
	return ""
}

// holds tells why nothing of a plan may leave now, whichever box it were; empty: nothing is in the way. What must stay of the
// capacity is not in it: a box that is missing as it is may leave even then.
func (c *Coordinator) holdReason(p *Plan) string {
	if why := c.faultReason(p, drainMargin); why != "" {
		return why
	}
	if f := &c.fleet; 10*f.staleMembers > f.reporters {
		return fmt.Sprintf("the lists of %d sidecars are late", f.staleMembers)
	}
	if !c.snapshot.Complete || len(c.unreachableMembers(p)) > 0 {
		return "not all sidecars are heard, or were until lately"
	}
	return ""
}

// full tells why there is no room for one more box of a plan that nothing else is in the way of.
func (c *Coordinator) noRoomReason(s *State, p *Plan) string {
	if n := c.countAway(s); n >= p.Spec.MaxConcurrent {
		return fmt.Sprintf("%d boxes are out or cold, at most %d may", n, p.Spec.MaxConcurrent)
	} else if n > 0 && c.isDegraded(p) {
		return fmt.Sprintf("%d boxes are cold by themselves, and the fleet refuses %.3f by itself", n, c.baselineRejection(p))
	}
	out := s.outOfService()
	for i := range p.Servers {
		if b := &p.Servers[i]; b.Stage == Pending && s.countOutAtSite(b.Site) < p.Spec.maxPerSite() {
			return fmt.Sprintf("without %s %.2f of the capacity would serve, %.2f must", b.Name, c.fleet.remainingCapacity(out, b.Name),
				c.fleet.requiredCapacity(p.Spec.MinCapacity, drainLoadRatio))
		}
	}
	return "the sites of the boxes that are left have enough out"
}

// ofSite counts boxes of a site that are out or come back, by any plan.
func (s *State) countOutAtSite(site string) (n int) {
	for i := range s.Plans {
		for _, b := range s.Plans[i].Servers {
			if b.Site == site && b.Stage >= Draining && b.Stage <= WarmingUp {
				n++
			}
		}
	}
	return n
}

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

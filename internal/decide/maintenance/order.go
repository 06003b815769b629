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
type fleet struct {
	now     float64
	boxes   []*seenBox // by name
	perS    average    // requests a second, over
	short   average    // some seconds,
	long    average    // a minute
	usual   average    // and longer
	refused average    // a second, over some seconds
	late    int
	spoke   int
	alone   alone
}

type seenBox struct {
	ServerStatus
	lastAt    float64 // when somebody had it on a list
	silentAt  float64 // since when most hold it for silent, or none lists it; 0: they don't
	coldSince float64
}

// average forgets what is older than some seconds, gradually.
type average struct {
	overS, sum, weight float64
}

func (a *average) add(x, dt float64) {
	part := 1 - math.Exp(-dt/a.overS)
	a.sum += part * (x - a.sum)
	a.weight += part * (1 - a.weight)
}

// value is the mean of what was added, of the latest the most.
func (a *average) value() float64 { return a.sum / max(a.weight, 1e-9) }

// Seconds that averages go over, and how far ahead the trend is followed.
const (
	shortS  = 8.0
	longS   = 60.0
	usualS  = 400.0
	aheadS  = 60.0
	noRise  = 1.15 // more load than usual that is no rise yet, when a box is to leave,
	tooMuch = 1.3  // and when boxes are out
	fewPerS = 1.0  // requests a second of which no part is taken
)

// hear takes what is said of boxes, and whether any box is out.
func (f *fleet) hear(now, dt float64, r *FleetSnapshot, out bool) {
	if f.now = now; dt <= 0 || dt > longS { // it is the first one, or none was asked for meanwhile
		f.perS, f.short, f.long, f.usual, f.refused, f.alone, dt = average{}, average{}, average{}, average{}, average{}, alone{}, 1
	}
	f.perS.overS, f.short.overS, f.long.overS, f.usual.overS, f.refused.overS = 4, shortS, longS, usualS, 4
	for _, a := range []*average{&f.perS, &f.short, &f.long, &f.usual} {
		a.add(r.Report.CompletedPerSecond, dt)
	}
	f.refused.add(r.Report.RejectedPerSecond, dt)
	f.alone.hear(now, dt, out, &r.Report)
	f.late, f.spoke = r.Report.StaleMembers, len(r.Report.Reporters)
	for _, b := range f.boxes {
		b.ListedBy = 0
	}
	for _, s := range r.Report.Servers {
		i, known := slices.BinarySearchFunc(f.boxes, s.Server, func(b *seenBox, name string) int { return cmp.Compare(b.Server, name) })
		if !known {
			f.boxes = slices.Insert(f.boxes, i, &seenBox{lastAt: now})
		}
		f.boxes[i].ServerStatus = s
	}
	for _, b := range f.boxes {
		if b.ListedBy > 0 {
			b.lastAt = now
		}
		if !b.answers() {
			b.silentAt = cmp.Or(b.silentAt, now)
		} else {
			b.silentAt = 0
		}
		if 2*b.WarmingUpBy > b.ListedBy && b.ListedBy > 0 {
			b.coldSince = cmp.Or(b.coldSince, now)
		} else {
			b.coldSince = 0
		}
	}
	f.boxes = slices.DeleteFunc(f.boxes, func(b *seenBox) bool { return now-b.lastAt > lostS })
}

func (b *seenBox) answers() bool { return b.ListedBy > 0 && 2*b.UnresponsiveBy <= b.ListedBy }

// missing tells whether a box does not serve now, though no plan has it out.
func (b *seenBox) missing() bool {
	return !b.answers() || 2*b.DrainingBy > b.ListedBy || 2*b.CordonedBy > b.ListedBy
}

// missing tells whether a box does not serve as it is, so that to give it back would help nobody.
func (f *fleet) missing(box string) bool {
	b := f.box(box)
	return b == nil || b.missing()
}

func (f *fleet) box(name string) *seenBox {
	i, known := slices.BinarySearchFunc(f.boxes, name, func(b *seenBox, name string) int { return cmp.Compare(b.Server, name) })
	if !known {
		return nil
	}
	return f.boxes[i]
}

// dumb tells whether a box is on lists and most hold it for silent. Danger: one that came back from work dead must not be followed
// by the next.
func (f *fleet) dumb(box string) bool {
	b := f.box(box)
	return b != nil && b.ListedBy > 0 && 2*b.UnresponsiveBy > b.ListedBy
}

// weight is a box's part in the capacity, as against others'.
func (f *fleet) weight(b *seenBox) float64 {
	if slices.ContainsFunc(f.boxes, func(b *seenBox) bool { return b.Capacity <= 0 }) {
		return 1
	}
	return b.Capacity
}

// keeps tells whether each box of a plan can leave at all beside the part that must stay.
func (f *fleet) keeps(boxes []Server, keep float64) error {
	total := 0.0
	for _, b := range f.boxes {
		total += f.weight(b)
	}
	for _, b := range boxes {
		if seen := f.box(b.Name); seen != nil && (total-f.weight(seen))/total < keep-1e-9 {
			return fmt.Errorf("keep: without %s %.2f of the capacity is left, less than %g", b.Name, (total-f.weight(seen))/total, keep)
		}
	}
	return nil
}

// rise is how much more load there is, or will be soon, than usual.
func (f *fleet) rise() float64 {
	if f.usual.value() < fewPerS {
		return 1
	}
	soon := f.short.value()
	if slope := (f.short.value() - f.long.value()) / (longS - shortS); slope > 0 {
		soon += slope * aheadS
	}
	return soon / f.usual.value()
}

// need is the part of the capacity that must stay for a plan. Danger: what its operator has named is for the usual load.
func (f *fleet) need(keep, tolerated float64) float64 {
	if r := f.rise(); r > tolerated {
		return min(keep*r, 1)
	}
	return keep
}

// lostSite returns the name of a site most of whose boxes have just come to be silent or are on no list any more; empty: there is none.
func (f *fleet) lostSite(out map[string]Stage) string {
	all, gone := map[string]int{}, map[string]int{}
	for _, b := range f.boxes {
		all[b.Site]++
		if _, ours := out[b.Server]; !ours && b.silentAt != 0 && f.now-b.silentAt < lostS {
			gone[b.Site]++
		}
	}
	for _, b := range f.boxes { // in the order of names, so that the answer is always the same
		if n := gone[b.Site]; 2*n > all[b.Site] {
			return b.Site
		}
	}
	return ""
}

// out returns the boxes that are out by any plan, or come back, with their stage.
func (s *State) outs() map[string]Stage {
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
func (f *fleet) staying(out map[string]Stage, less string) float64 {
	total, left := 0.0, 0.0
	for _, b := range f.boxes {
		w := f.weight(b)
		total += w
		if _, gone := out[b.Server]; !gone && b.Server != less && !b.missing() {
			left += w
		}
	}
	if total == 0 {
		return 0
	}
	return left / total
}

// wrong tells what is so bad for a plan that boxes which are not worked on yet are given back; empty: nothing is.
func (c *Coordinator) wrong(p *Plan) string {
	if why := c.troubled(p, 1); why != "" {
		return why
	}
	part, need := c.fleet.staying(c.agreed.State.outs(), ""), c.fleet.need(p.Spec.MinCapacity, tooMuch)
	if part < need-1e-9 {
		return fmt.Sprintf("%.2f of the capacity serves, %.2f must", part, need)
	}
	return ""
}

// troubled tells what of the fleet is in a plan's way, whichever boxes were out, with the part of Refusing that is none yet.
func (c *Coordinator) troubled(p *Plan, tolerated float64) string {
	f := &c.fleet
	if part, most := f.refusedPart(), c.mostRefused(p, tolerated); part > most {
		return fmt.Sprintf("%.3f of the requests are refused or fail, at most %.3f may; by itself the fleet refuses %.3f", part, most, c.byItself(p))
	}
	if site := f.lostSite(c.agreed.State.outs()); site != "" {
		return fmt.Sprintf("site %s is lost", site)
	}
	return ""
}

// holds tells why nothing of a plan may leave now, whichever box it were; empty: nothing is in the way. What must stay of the
// capacity is not in it: a box that is missing as it is may leave even then.
func (c *Coordinator) holds(p *Plan) string {
	if why := c.troubled(p, margin); why != "" {
		return why
	}
	if f := &c.fleet; 10*f.late > f.spoke {
		return fmt.Sprintf("the lists of %d sidecars are late", f.late)
	}
	if !c.round.Complete || len(c.unheard(p)) > 0 {
		return "not all sidecars are heard, or were until lately"
	}
	return ""
}

// full tells why there is no room for one more box of a plan that nothing else is in the way of.
func (c *Coordinator) full(s *State, p *Plan) string {
	if n := c.away(s); n >= p.Spec.MaxConcurrent {
		return fmt.Sprintf("%d boxes are out or cold, at most %d may", n, p.Spec.MaxConcurrent)
	} else if n > 0 && c.edge(p) {
		return fmt.Sprintf("%d boxes are cold by themselves, and the fleet refuses %.3f by itself", n, c.byItself(p))
	}
	out := s.outs()
	for i := range p.Servers {
		if b := &p.Servers[i]; b.Stage == Pending && s.ofSite(b.Site) < p.Spec.bySite() {
			return fmt.Sprintf("without %s %.2f of the capacity would serve, %.2f must", b.Name, c.fleet.staying(out, b.Name),
				c.fleet.need(p.Spec.MinCapacity, noRise))
		}
	}
	return "the sites of the boxes that are left have enough out"
}

// ofSite counts boxes of a site that are out or come back, by any plan.
func (s *State) ofSite(site string) (n int) {
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
const coldMostS = 120.0

// away counts boxes that are out or come back, by any plan or by themselves. What is lost is not waited for.
func (c *Coordinator) away(s *State) (n int) {
	out := s.outs()
	for _, stage := range out {
		if stage != Lost {
			n++
		}
	}
	for _, b := range c.fleet.boxes {
		if _, ours := out[b.Server]; !ours && b.coldSince != 0 && c.now-b.coldSince < coldMostS && !b.missing() {
			n++
		}
	}
	return n
}

// choose returns the box of a plan that leaves next; nil: none can now.
func (c *Coordinator) choose(s *State, p *Plan) *Server {
	if n := c.away(s); n >= p.Spec.MaxConcurrent || n > 0 && c.edge(p) {
		return nil
	}
	out := s.outs()
	left := map[string]int{} // that wait, by site
	waiting := 0
	for i := range p.Servers {
		if b := &p.Servers[i]; b.Stage == Pending {
			left[b.Site]++
			waiting++
		}
	}
	need := c.fleet.need(p.Spec.MinCapacity, noRise)
	var best *candidate
	for i := range p.Servers {
		b := &p.Servers[i]
		if b.Stage != Pending || s.ofSite(b.Site) >= p.Spec.bySite() {
			continue
		}
		seen := c.fleet.box(b.Name)
		_, gone := out[b.Name] // lost by a plan before
		missing := gone || seen == nil || seen.missing()
		if !missing && c.fleet.staying(out, b.Name) < need-1e-9 {
			continue
		}
		k := &candidate{box: b, place: i, left: left[b.Site]}
		if missing && c.set.Order != AsListed {
			k.hurt = -1
		} else if seen != nil {
			k.hurt, k.perS = c.fleet.hurt(out, seen), seen.CompletedPerSecond
			// A site that takes as long as all that is left, or longer, has its boxes wait for each other: it goes first.
			k.tight = float64(left[b.Site])/float64(p.Spec.bySite()) >= float64(waiting)/float64(p.Spec.MaxConcurrent)
		}
		if best == nil || c.before(k, best) {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	return best.box
}

type candidate struct {
	box   *Server
	place int     // in the plan
	left  int     // boxes that wait at its site
	hurt  float64 // below 0: it does not serve as it is
	perS  float64
	tight bool
}

// before tells whether a box leaves before another.
func (c *Coordinator) before(a, b *candidate) bool {
	hurts := func(k *candidate) int { return int(math.Round(50 * k.hurt)) }
	ahead := func(k *candidate) int {
		if k.tight && k.hurt >= 0 {
			return 0
		}
		return 1
	}
	missing := func(k *candidate) int {
		if k.hurt < 0 {
			return 0
		}
		return 1
	}
	switch c.set.Order {
	case AsListed:
		return a.place < b.place
	case SitesInTurn:
		return cmp.Or(missing(a)-missing(b), b.left-a.left, a.place-b.place) < 0
	case LeastLoad:
		return cmp.Or(missing(a)-missing(b), cmp.Compare(a.perS, b.perS), a.place-b.place) < 0
	case LeastImpact:
		return cmp.Or(hurts(a)-hurts(b), cmp.Compare(a.perS, b.perS), a.place-b.place) < 0
	}
	return cmp.Or(missing(a)-missing(b), ahead(a)-ahead(b), hurts(a)-hurts(b), b.left-a.left, cmp.Compare(a.perS, b.perS), a.place-b.place) < 0
}

// hurt is what the fleet loses if a box leaves now: the part of its site and of its kind that is then out, and its part of the load.
func (f *fleet) hurt(out map[string]Stage, b *seenBox) float64 {
	var site, siteOut, kind, kindOut, load float64
	for _, o := range f.boxes {
		w := f.weight(o)
		_, gone := out[o.Server]
		gone = gone || o.missing() || o == b
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

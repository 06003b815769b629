package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
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

// refusedPart returns the part of the requests that is refused or fails now.
func (f *fleetModel) rejectionFraction() float64 {
	return f.rejected.value() / max(f.completed.value(), minRatePerSecond)
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

package maintenance

import (
	"cmp"
	"math"
)

// rejectionBaseline measures which fraction of its requests the fleet rejects while no plan has a server out, or had one within
// aftermathSeconds. A fleet near its capacity rejects some requests whatever plans do; a plan that waited for that to end would wait
// for ever.
//
// Danger: rejections that a plan causes must never become part of the baseline, or each server that drains would raise the limit for
// the next one. So nothing is measured until the effect of the last server is over. Against lasting effects, Plan.BaselineRejection
// holds what was measured before the plan's first server drained: it is committed, outlives the lease holder, and only ResumePlan
// resets it.
type rejectionBaseline struct {
	completed, rejected             movingAverage // over baselineWindowSeconds
	recentCompleted, recentRejected movingAverage // over recentWindowSeconds
	undisturbedSince                float64       // since when no server has been out; 0: one is out, or there was no snapshot yet
	measuredSeconds                 float64       // for how long the baseline has been measured since undisturbedSince
}

const (
	aftermathSeconds      = 8.0  // how long the effect of a server that is back in service may last
	minMeasureSeconds     = 10.0 // how long the baseline is measured before it counts as current
	baselineWindowSeconds = 60.0
	recentWindowSeconds   = 15.0   // a shorter window, to follow falling rejections sooner
	minBaseline           = 0.0001 // minimum of a measured Plan.BaselineRejection, where 0 means that no server has drained yet
	negligibleFraction    = 0.2    // fraction of a plan's RejectionBudget; fewer rejections need no baseline
	drainMargin           = 0.7    // fraction of a plan's RejectionBudget that may be used when a server starts to drain; once servers are out, all of it may
)

// observe handles a report that covers the last elapsed seconds.
func (b *rejectionBaseline) observe(now, elapsed float64, hasServerOut bool, report *Report) {
	if hasServerOut {
		b.undisturbedSince, b.measuredSeconds = 0, 0
		return
	}
	b.undisturbedSince = cmp.Or(b.undisturbedSince, now)
	if now-elapsed-b.undisturbedSince < aftermathSeconds {
		return
	}
	b.completed.windowSeconds, b.rejected.windowSeconds = baselineWindowSeconds, baselineWindowSeconds
	b.recentCompleted.windowSeconds, b.recentRejected.windowSeconds = recentWindowSeconds, recentWindowSeconds
	b.completed.add(report.CompletedPerSecond, elapsed)
	b.rejected.add(report.RejectedPerSecond, elapsed)
	b.recentCompleted.add(report.CompletedPerSecond, elapsed)
	b.recentRejected.add(report.RejectedPerSecond, elapsed)
	b.measuredSeconds += elapsed
}

// isMeasured reports whether the baseline is current: no server is out, and it has been measured for long enough since the last one
// was.
func (b *rejectionBaseline) isMeasured() bool { return b.measuredSeconds >= minMeasureSeconds }

// fraction returns the measured fraction of rejected requests, if anything was measured.
func (b *rejectionBaseline) fraction() (fraction float64, known bool) {
	if b.completed.weight == 0 {
		return 0, false
	}
	long := b.rejected.value() / max(b.completed.value(), minRatePerSecond)
	recent := b.recentRejected.value() / max(b.recentCompleted.value(), minRatePerSecond)
	return min(long, recent), true
}

// baselineRejection returns the baseline that applies to a plan. It is at most the plan's RejectionBudget above what was measured
// before its first server drained.
func (c *Coordinator) baselineRejection(p *Plan) float64 {
	fraction, known := c.fleet.baseline.fraction()
	switch {
	case !known:
		fraction = p.BaselineRejection // measured by an earlier lease holder, or 0
	case p.BaselineRejection > 0:
		fraction = min(fraction, p.BaselineRejection+p.Spec.rejectionBudget())
	}
	return math.Min(fraction, 1)
}

// maxRejection returns the fraction of requests that may be rejected with a fraction of the plan's RejectionBudget used.
func (c *Coordinator) maxRejection(p *Plan, budgetFraction float64) float64 {
	return min(c.baselineRejection(p)+budgetFraction*p.Spec.rejectionBudget(), p.Spec.maxRejection())
}

// isDegraded reports whether the baseline alone exceeds what a plan may add when a server starts to drain. Servers then drain one at
// a time, each after the baseline was measured again.
func (c *Coordinator) isDegraded(p *Plan) bool {
	return c.baselineRejection(p) > drainMargin*p.Spec.rejectionBudget()
}

// needsBaseline reports whether the first server of a plan must wait until the baseline is measured: the rejections of a few seconds
// would otherwise bound the plan's baseline for good. It needn't wait if the rejections are negligible, or if nothing can be measured
// now because another plan has a server out.
func (c *Coordinator) needsBaseline(p *Plan) bool {
	_, known := c.fleet.baseline.fraction()
	return p.BaselineRejection == 0 && !known && c.fleet.baseline.undisturbedSince != 0 &&
		c.fleet.rejectionFraction() > negligibleFraction*p.Spec.rejectionBudget()
}

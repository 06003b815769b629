package maintenance

import (
	"cmp"
	"math"
)

// alone is what a fleet refuses by itself: the part of its requests while no box is out by a plan, nor was until lately. At nine tenths
// of its capacity a fleet refuses a part whatever plans do, and a plan that waits for the end of that waits for ever.
//
// Danger: what a plan causes must never come to be what the fleet does by itself, or each box that leaves would allow for more. So
// nothing is measured until what a box has caused is over; and for harm that stays, Plan.Own has what was refused before the first
// box left, and Plan.Own is agreed: it outlives the owner, and only an operator has it measured anew.
type rejectionBaseline struct {
	completed, rejected             movingAverage // over a minute,
	recentRejected, recentCompleted movingAverage // and over some seconds
	undisturbedSince                float64       // since when nothing has been out; 0: something is, or nothing was heard yet
	measuredSeconds                 float64       // for how long it has been measured since then
}

const (
	aftermathSeconds      = 8.0    // after a box has come back what it has caused is over
	minMeasureSeconds     = 10.0   // is measured at least
	baselineWindowSeconds = 60.0   // an average goes over,
	recentWindowSeconds   = 15.0   // and one that follows a fall
	minBaseline           = 0.0001 // a part of which Plan.Own is at least, since 0 says that no box has left yet
)

// hear takes what is refused, and whether a box is out.
func (o *rejectionBaseline) observe(now, dt float64, out bool, s *Report) {
	if out {
		o.undisturbedSince, o.measuredSeconds = 0, 0
		return
	}
	if o.undisturbedSince = cmp.Or(o.undisturbedSince, now); now-dt-o.undisturbedSince < aftermathSeconds { // what is said is of all the time since it was said before
		return
	}
	o.completed.windowSeconds, o.rejected.windowSeconds, o.recentCompleted.windowSeconds, o.recentRejected.windowSeconds = baselineWindowSeconds, baselineWindowSeconds, recentWindowSeconds, recentWindowSeconds
	o.completed.add(s.CompletedPerSecond, dt)
	o.rejected.add(s.RejectedPerSecond, dt)
	o.recentCompleted.add(s.CompletedPerSecond, dt)
	o.recentRejected.add(s.RejectedPerSecond, dt)
	o.measuredSeconds += dt
}

// measured tells whether what is known is of now: nothing is out, and it was measured for long enough since.
func (o *rejectionBaseline) isMeasured() bool { return o.measuredSeconds >= minMeasureSeconds }

// part returns what was measured; not known: nothing was.
func (o *rejectionBaseline) fraction() (part float64, known bool) {
	if o.completed.weight == 0 {
		return 0, false
	}
	return min(o.rejected.value()/max(o.completed.value(), minRatePerSecond), o.recentRejected.value()/max(o.recentCompleted.value(), minRatePerSecond)), true
}

// byItself returns the part of the requests that the fleet refuses or fails by itself, as far as that counts for a plan: never more
// than its Refusing above what was refused before its first box left.
func (c *Coordinator) baselineRejection(p *Plan) float64 {
	part, known := c.fleet.baseline.fraction()
	switch {
	case !known:
		part = p.BaselineRejection // of the owner before, or not known at all
	case p.BaselineRejection > 0:
		part = min(part, p.BaselineRejection+p.Spec.rejectionBudget())
	}
	return math.Min(part, 1)
}

// mostRefused returns the part that may be refused, with what is tolerated of Refusing.
func (c *Coordinator) maxRejection(p *Plan, margin float64) float64 {
	return min(c.baselineRejection(p)+margin*p.Spec.rejectionBudget(), p.Spec.maxRejection())
}

// edge tells whether the fleet refuses so much by itself that a plan goes on for that alone: one box at a time then, and no sooner
// than it was measured what the fleet does without.
func (c *Coordinator) isDegraded(p *Plan) bool {
	return c.baselineRejection(p) > drainMargin*p.Spec.rejectionBudget()
}

// blank tells whether a plan's first box is to wait until it is known what the fleet refuses by itself: what is refused is next to
// nothing, or nothing of it could be measured now, since another plan has something out. Danger: a plan that begins by a chance
// of some seconds would be held to that for good.
func (c *Coordinator) needsBaseline(p *Plan) bool {
	_, known := c.fleet.baseline.fraction()
	return p.BaselineRejection == 0 && !known && c.fleet.baseline.undisturbedSince != 0 && c.fleet.rejectionFraction() > negligiblePart*p.Spec.rejectionBudget()
}

// nearNone is the part of Refusing that says nothing of what the fleet does by itself.
const negligiblePart = 0.2

// margin is the part of Refusing that is tolerated when a box is to leave; when boxes are out it is all.
const drainMargin = 0.7

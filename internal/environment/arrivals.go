package environment

import (
	"math"

	"hazelwheel/internal/checker"
)

// rateAt returns the arrivals a second at a time.
func (a *Application) rateAt(at float64) float64 {
	s := a.spec
	r := s.RatePerSecond * a.day.Sidecars[a.number].Share * (1 + s.Swing*math.Sin(2*math.Pi*(at-a.day.Start)/s.SwingPeriodSeconds))
	for at >= a.burstEnd {
		a.burstAt = max(a.burstEnd, a.day.Start) + s.BurstIntervalSeconds*a.arrivals.ExpFloat64()
		a.burstEnd = a.burstAt + s.BurstSeconds*(0.5+a.arrivals.Float64())
	}
	if at >= a.burstAt {
		r *= s.BurstFactor
	}
	return r
}

// nextArrival returns the time of the next arrival after a time, by thinning.
func (a *Application) nextArrival(at float64) float64 {
	maxRate := a.spec.RatePerSecond * a.day.Sidecars[a.number].Share * (1 + a.spec.Swing) * a.spec.BurstFactor
	for {
		at += a.arrivals.ExpFloat64() / maxRate
		if a.arrivals.Float64()*maxRate <= a.rateAt(at) {
			return at
		}
	}
}

// startOperation starts an operation and schedules the next arrival.
func (a *Application) startOperation(dueAt, now float64) {
	// Danger: if the next one counted from now, a late event loop would reduce the rate.
	if at := a.nextArrival(dueAt); at < a.day.Start+a.day.LengthSeconds {
		a.tasks.add(at, clientTask{kind: taskArrival})
	} else {
		a.tasks.add(now+a.longestTimeout()+2, clientTask{kind: taskEnd})
	}
	if a.isDisconnected(now) {
		return
	}
	class, at := 0, a.arrivals.Float64()
	if a.batch != nil {
		class, at = a.batch.Class, 0
	}
	for a.batch == nil && class < len(a.day.Classes)-1 && at >= a.day.Classes[class].Share {
		at -= a.day.Classes[class].Share
		class++
	}
	spec := &a.day.Classes[class]
	op := &operation{class: class, deadline: now + spec.TotalTimeoutSeconds}
	if spec.BodyBytes > 0 {
		op.bodySize = 1 + a.arrivals.IntN(2*spec.BodyBytes)
	}
	if spec.Effect == checker.Keyed {
		op.idempotencyKey = a.ids.Uint64()
	}
	a.startRequest(op, now)
}

// longestTimeout returns the longest time-out of an operation.
func (a *Application) longestTimeout() float64 {
	longest := 0.0
	for _, class := range a.day.Classes {
		longest = max(longest, class.TotalTimeoutSeconds)
	}
	return longest
}

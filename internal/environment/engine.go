package environment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Job is what a box works on: a request or a probe.
type Job struct {
	Seconds       float64 // of the box's own time when it is warm and not crowded
	IsHealthCheck bool
	EnqueuedAt    float64 // when it came
	Owner         any     // for whoever has given it

	finish float64 // of one in work, where the box does not stand still; else the time that it still needs
}

// Engine is a life of a box without its sockets: slots, a waiting room, and a start that may be cold. All methods are
// told the time, which never goes back; Advance must be called before others once the time that Due names has come.
type Engine struct {
	spec    *ServerSpec
	rng     *rand.Rand
	started float64
	cold    bool // at the start
	worked  float64
	inWork  []*Job
	waiting []*Job

	stuck     bool // it answers nothing until it is told to go on
	pausing   bool
	pauseAt   float64 // begins or ends
	fallen    bool
	arrivals  []arrival // of the window in which work counts against a cold box
	sum       float64
	connected int
	done      []*Job
}

type arrival struct{ at, seconds float64 }

// NewEngine returns the engine of a box that starts now, cold or long warm.
func NewEngine(spec *ServerSpec, rng *rand.Rand, now float64, cold bool) *Engine {
	e := &Engine{spec: spec, rng: rng, started: now, cold: cold, pauseAt: math.Inf(1)}
	if spec.PauseIntervalSeconds > 0 && spec.PauseSeconds > 0 {
		e.pauseAt = now + spec.PauseIntervalSeconds*rng.ExpFloat64()
	}
	return e
}

// Warmth returns the share of its capacity that the box has. It rises evenly with the work done or with time,
// whichever is further, and never falls.
func (e *Engine) Warmth(now float64) float64 {
	if !e.cold {
		return 1
	}
	s := e.spec
	way := max(e.worked/(s.WarmupWorkSeconds*float64(s.Slots)), (now-e.started)/s.WarmupSeconds)
	return min(1, s.ColdCapacity+(1-s.ColdCapacity)*way)
}

// budget returns how much work a window may bring a box of some warmth.
func (e *Engine) budget(warmth float64) float64 {
	f := &e.spec.Overload
	return f.Multiple*warmth*float64(e.spec.Slots)*f.WindowSeconds + f.SlackSeconds
}

// Bear counts work that reaches the box, also such as it turns away, and tells whether that has just brought it down.
func (e *Engine) CountWork(now, seconds float64) (fell bool) {
	warmth := e.Warmth(now)
	if warmth >= 1 || e.fallen {
		e.arrivals, e.sum = e.arrivals[:0], 0
		return false
	}
	e.arrivals = append(e.arrivals, arrival{now, seconds})
	e.sum += seconds
	old := 0
	for e.arrivals[old].at < now-e.spec.Overload.WindowSeconds {
		e.sum -= e.arrivals[old].seconds
		old++
	}
	e.arrivals = slices.Delete(e.arrivals, 0, old)
	if e.sum <= e.budget(warmth) {
		return false
	}
	e.fallen = true
	e.freeze(now)
	return true
}

// Fallen tells whether the box is out of service for the rest of its life.
func (e *Engine) IsOverloaded() bool { return e.fallen }

// Held returns how many jobs the box has.
func (e *Engine) InFlight() int { return len(e.inWork) + len(e.waiting) }

// Waiting returns how many of them have not begun.
func (e *Engine) Queued() int { return len(e.waiting) }

// Take gives the box a job; false: it is full.
func (e *Engine) Enqueue(now float64, j *Job) bool {
	if len(e.waiting) >= e.spec.QueueLimit && (e.still() || len(e.inWork) >= e.spec.Slots) {
		return false
	}
	j.EnqueuedAt = now
	e.waiting = append(e.waiting, j)
	e.fill(now)
	return true
}

// Drop takes a job out that has not begun, where the box can; false: its work goes on.
func (e *Engine) Cancel(j *Job) bool {
	i := slices.Index(e.waiting, j)
	if i < 0 || !e.spec.DropsCancelled {
		return false
	}
	e.waiting = slices.Delete(e.waiting, i, i+1)
	return true
}

// speed returns how fast the box works now, beside warm and alone.
func (e *Engine) speed(now float64) float64 {
	s := e.spec
	crowd := max(0, float64(e.InFlight())-s.ThrashThreshold*float64(s.Slots))
	tax := s.ConnectionOverhead * min(1, float64(e.connected)/float64(max(s.MaxConnections, 1)))
	return e.Warmth(now) * (1 - tax) / (1 + s.ThrashFactor*crowd)
}

func (e *Engine) still() bool { return e.stuck || e.pausing || e.fallen }

// fill begins what waits as long as a slot is free.
func (e *Engine) fill(now float64) {
	for !e.still() && len(e.inWork) < e.spec.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		speed := e.speed(now)
		e.waiting = slices.Delete(e.waiting, 0, 1)
		j.finish = now + j.Seconds/speed
		e.inWork = append(e.inWork, j)
	}
}

// Due returns when Advance is next to be called, +Inf: not before something else happens.
func (e *Engine) NextAt() float64 {
	if e.fallen || e.stuck {
		return math.Inf(1)
	}
	at := e.pauseAt
	if !e.pausing {
		for _, j := range e.inWork {
			at = min(at, j.finish)
		}
	}
	return at
}

// Advance does what is due by now and returns the jobs that are done, in their order; valid until the next call.
func (e *Engine) Advance(now float64) []*Job {
	e.done = e.done[:0]
	for at := e.NextAt(); at <= now; at = e.NextAt() {
		if e.pauseAt <= at {
			e.turnPause(at)
			continue
		}
		i := 0
		for k, j := range e.inWork {
			if j.finish < e.inWork[i].finish {
				i = k
			}
		}
		j := e.inWork[i]
		e.inWork = slices.Delete(e.inWork, i, i+1)
		e.worked += j.Seconds
		e.done = append(e.done, j)
		e.fill(at)
	}
	return e.done
}

// turnPause begins a pause, or ends one.
func (e *Engine) turnPause(at float64) {
	if !e.pausing {
		e.freeze(at)
		e.pausing = true
		e.pauseAt = at + e.spec.PauseSeconds*(0.5+e.rng.Float64())
		return
	}
	e.pausing = false
	e.pauseAt = at + e.spec.PauseIntervalSeconds*e.rng.ExpFloat64()
	e.thaw(at)
}

// Hang has the box stand still, or go on.
func (e *Engine) SetHung(now float64, on bool) {
	switch {
	case on && !e.stuck:
		e.freeze(now)
		e.stuck = true
	case !on && e.stuck:
		e.stuck = false
		if e.pausing { // what has been missed of pauses is over with it
			e.pausing = false
			e.pauseAt = now + e.spec.PauseIntervalSeconds*e.rng.ExpFloat64()
		}
		e.pauseAt = max(e.pauseAt, now)
		e.thaw(now)
	}
}

// freeze turns the times of what is in work into what is left to do, thaw turns them back. Danger: done twice in a row
// either would lose or make up time.
func (e *Engine) freeze(now float64) {
	if e.stuck || e.pausing {
		return
	}
	for _, j := range e.inWork {
		j.finish -= now
	}
}

func (e *Engine) thaw(now float64) {
	if e.still() {
		return
	}
	for _, j := range e.inWork {
		j.finish += now
	}
	e.fill(now)
}

// Connected notes how many connections the box holds.
func (e *Engine) SetConnections(n int) { e.connected = n }

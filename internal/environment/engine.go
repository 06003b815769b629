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
	spec          *ServerSpec
	rng           *rand.Rand
	started       float64
	startsCold    bool // at the start
	workedSeconds float64
	running       []*Job
	queued        []*Job

	isHung       bool // it answers nothing until it is told to go on
	isPausing    bool
	pauseAt      float64 // begins or ends
	isOverloaded bool
	arrivals     []arrival // of the window in which work counts against a cold box
	windowWork   float64
	connections  int
	done         []*Job
}

type arrival struct{ at, seconds float64 }

// NewEngine returns the engine of a box that starts now, cold or long warm.
func NewEngine(spec *ServerSpec, rng *rand.Rand, now float64, cold bool) *Engine {
	e := &Engine{spec: spec, rng: rng, started: now, startsCold: cold, pauseAt: math.Inf(1)}
	if spec.PauseIntervalSeconds > 0 && spec.PauseSeconds > 0 {
		e.pauseAt = now + spec.PauseIntervalSeconds*rng.ExpFloat64()
	}
	return e
}

// Warmth returns the share of its capacity that the box has. It rises evenly with the work done or with time,
// whichever is further, and never falls.
func (e *Engine) Warmth(now float64) float64 {
	if !e.startsCold {
		return 1
	}
	s := e.spec
	way := max(e.workedSeconds/(s.WarmupWorkSeconds*float64(s.Slots)), (now-e.started)/s.WarmupSeconds)
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
	if warmth >= 1 || e.isOverloaded {
		e.arrivals, e.windowWork = e.arrivals[:0], 0
		return false
	}
	e.arrivals = append(e.arrivals, arrival{now, seconds})
	e.windowWork += seconds
	old := 0
	for e.arrivals[old].at < now-e.spec.Overload.WindowSeconds {
		e.windowWork -= e.arrivals[old].seconds
		old++
	}
	e.arrivals = slices.Delete(e.arrivals, 0, old)
	if e.windowWork <= e.budget(warmth) {
		return false
	}
	e.isOverloaded = true
	e.suspend(now)
	return true
}

// Fallen tells whether the box is out of service for the rest of its life.
func (e *Engine) IsOverloaded() bool { return e.isOverloaded }

// Held returns how many jobs the box has.
func (e *Engine) InFlight() int { return len(e.running) + len(e.queued) }

// Waiting returns how many of them have not begun.
func (e *Engine) Queued() int { return len(e.queued) }

// Take gives the box a job; false: it is full.
func (e *Engine) Enqueue(now float64, job *Job) bool {
	if len(e.queued) >= e.spec.QueueLimit && (e.isPaused() || len(e.running) >= e.spec.Slots) {
		return false
	}
	job.EnqueuedAt = now
	e.queued = append(e.queued, job)
	e.startQueued(now)
	return true
}

// Drop takes a job out that has not begun, where the box can; false: its work goes on.
func (e *Engine) Cancel(job *Job) bool {
	i := slices.Index(e.queued, job)
	if i < 0 || !e.spec.DropsCancelled {
		return false
	}
	e.queued = slices.Delete(e.queued, i, i+1)
	return true
}

// speed returns how fast the box works now, beside warm and alone.
func (e *Engine) speed(now float64) float64 {
	s := e.spec
	crowd := max(0, float64(e.InFlight())-s.ThrashThreshold*float64(s.Slots))
	tax := s.ConnectionOverhead * min(1, float64(e.connections)/float64(max(s.MaxConnections, 1)))
	return e.Warmth(now) * (1 - tax) / (1 + s.ThrashFactor*crowd)
}

func (e *Engine) isPaused() bool { return e.isHung || e.isPausing || e.isOverloaded }

// fill begins what waits as long as a slot is free.
func (e *Engine) startQueued(now float64) {
	for !e.isPaused() && len(e.running) < e.spec.Slots && len(e.queued) > 0 {
		job := e.queued[0]
		speed := e.speed(now)
		e.queued = slices.Delete(e.queued, 0, 1)
		job.finish = now + job.Seconds/speed
		e.running = append(e.running, job)
	}
}

// Due returns when Advance is next to be called, +Inf: not before something else happens.
func (e *Engine) NextAt() float64 {
	if e.isOverloaded || e.isHung {
		return math.Inf(1)
	}
	at := e.pauseAt
	if !e.isPausing {
		for _, job := range e.running {
			at = min(at, job.finish)
		}
	}
	return at
}

// Advance does what is due by now and returns the jobs that are done, in their order; valid until the next call.
func (e *Engine) Advance(now float64) []*Job {
	e.done = e.done[:0]
	for at := e.NextAt(); at <= now; at = e.NextAt() {
		if e.pauseAt <= at {
			e.togglePause(at)
			continue
		}
		i := 0
		for k, job := range e.running {
			if job.finish < e.running[i].finish {
				i = k
			}
		}
		job := e.running[i]
		e.running = slices.Delete(e.running, i, i+1)
		e.workedSeconds += job.Seconds
		e.done = append(e.done, job)
		e.startQueued(at)
	}
	return e.done
}

// turnPause begins a pause, or ends one.
func (e *Engine) togglePause(at float64) {
	if !e.isPausing {
		e.suspend(at)
		e.isPausing = true
		e.pauseAt = at + e.spec.PauseSeconds*(0.5+e.rng.Float64())
		return
	}
	e.isPausing = false
	e.pauseAt = at + e.spec.PauseIntervalSeconds*e.rng.ExpFloat64()
	e.resume(at)
}

// Hang has the box stand still, or go on.
func (e *Engine) SetHung(now float64, enabled bool) {
	switch {
	case enabled && !e.isHung:
		e.suspend(now)
		e.isHung = true
	case !enabled && e.isHung:
		e.isHung = false
		if e.isPausing { // what has been missed of pauses is over with it
			e.isPausing = false
			e.pauseAt = now + e.spec.PauseIntervalSeconds*e.rng.ExpFloat64()
		}
		e.pauseAt = max(e.pauseAt, now)
		e.resume(now)
	}
}

// freeze turns the times of what is in work into what is left to do, thaw turns them back. Danger: done twice in a row
// either would lose or make up time.
func (e *Engine) suspend(now float64) {
	if e.isHung || e.isPausing {
		return
	}
	for _, job := range e.running {
		job.finish -= now
	}
}

func (e *Engine) resume(now float64) {
	if e.isPaused() {
		return
	}
	for _, job := range e.running {
		job.finish += now
	}
	e.startQueued(now)
}

// Connected notes how many connections the box holds.
func (e *Engine) SetConnections(n int) { e.connections = n }

package environment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Job is a unit of a server's work: a request or a health check.
type Job struct {
	Seconds       float64 // of the server's time when it is warm and not overloaded
	IsHealthCheck bool
	EnqueuedAt    float64 // set by Enqueue
	Owner         any     // for the caller of Enqueue

	finish float64 // of a running job: when it is done or, while the engine is paused, the time that it still needs
}

// Engine models how a server's process executes jobs: slots, a queue, and a start that may be cold. All methods get the
// time, which never goes back; Advance must be called before others once the time that NextAt returns has come.
type Engine struct {
	spec          *ServerSpec
	rng           *rand.Rand
	started       float64
	startsCold    bool
	workedSeconds float64
	running       []*Job
	queued        []*Job

	isHung       bool // it makes no progress until SetHung ends that
	isPausing    bool
	pauseAt      float64 // when the next pause starts, or the present one ends
	isOverloaded bool
	arrivals     []arrival // of the overload window
	windowWork   float64
	connections  int
	done         []*Job
}

type arrival struct{ at, seconds float64 }

// NewEngine returns the engine of a server that starts now, cold or warm.
func NewEngine(spec *ServerSpec, rng *rand.Rand, now float64, cold bool) *Engine {
	e := &Engine{spec: spec, rng: rng, started: now, startsCold: cold, pauseAt: math.Inf(1)}
	if spec.PauseIntervalSeconds > 0 && spec.PauseSeconds > 0 {
		e.pauseAt = now + spec.PauseIntervalSeconds*rng.ExpFloat64()
	}
	return e
}

// Warmth returns the share of its full capacity that the server has. It rises linearly with the work done or with time,
// whichever gives more, and never falls.
func (e *Engine) Warmth(now float64) float64 {
	if !e.startsCold {
		return 1
	}
	s := e.spec
	progress := max(e.workedSeconds/(s.WarmupWorkSeconds*float64(s.Slots)), (now-e.started)/s.WarmupSeconds)
	return min(1, s.ColdCapacity+(1-s.ColdCapacity)*progress)
}

// budget returns how much work the overload window may bring at some warmth.
func (e *Engine) budget(warmth float64) float64 {
	overload := &e.spec.Overload
	return overload.Multiple*warmth*float64(e.spec.Slots)*overload.WindowSeconds + overload.SlackSeconds
}

// CountWork counts work that reaches the server, also what it rejects, and reports whether that has just overloaded it.
func (e *Engine) CountWork(now, seconds float64) (overloads bool) {
	warmth := e.Warmth(now)
	if warmth >= 1 || e.isOverloaded {
		e.arrivals, e.windowWork = e.arrivals[:0], 0
		return false
	}
	e.arrivals = append(e.arrivals, arrival{now, seconds})
	e.windowWork += seconds
	expired := 0
	for e.arrivals[expired].at < now-e.spec.Overload.WindowSeconds {
		e.windowWork -= e.arrivals[expired].seconds
		expired++
	}
	e.arrivals = slices.Delete(e.arrivals, 0, expired)
	if e.windowWork <= e.budget(warmth) {
		return false
	}
	e.isOverloaded = true
	e.suspend(now)
	return true
}

// IsOverloaded reports whether the process is out of service for good.
func (e *Engine) IsOverloaded() bool { return e.isOverloaded }

// InFlight returns the number of running and queued jobs.
func (e *Engine) InFlight() int { return len(e.running) + len(e.queued) }

// Queued returns the number of queued jobs.
func (e *Engine) Queued() int { return len(e.queued) }

// Enqueue gives the engine a job; false: its queue is full.
func (e *Engine) Enqueue(now float64, job *Job) bool {
	if len(e.queued) >= e.spec.QueueLimit && (e.isPaused() || len(e.running) >= e.spec.Slots) {
		return false
	}
	job.EnqueuedAt = now
	e.queued = append(e.queued, job)
	e.startQueued(now)
	return true
}

// Cancel removes a queued job, if the server drops cancelled ones; false: it will be executed.
func (e *Engine) Cancel(job *Job) bool {
	i := slices.Index(e.queued, job)
	if i < 0 || !e.spec.DropsCancelled {
		return false
	}
	e.queued = slices.Delete(e.queued, i, i+1)
	return true
}

// speed returns how fast a job runs now, relative to a warm server without other jobs.
func (e *Engine) speed(now float64) float64 {
	s := e.spec
	excess := max(0, float64(e.InFlight())-s.ThrashThreshold*float64(s.Slots))
	overhead := s.ConnectionOverhead * min(1, float64(e.connections)/float64(max(s.MaxConnections, 1)))
	return e.Warmth(now) * (1 - overhead) / (1 + s.ThrashFactor*excess)
}

// isPaused reports whether jobs make no progress.
func (e *Engine) isPaused() bool { return e.isHung || e.isPausing || e.isOverloaded }

// startQueued starts queued jobs as long as a slot is free.
func (e *Engine) startQueued(now float64) {
	for !e.isPaused() && len(e.running) < e.spec.Slots && len(e.queued) > 0 {
		job := e.queued[0]
		speed := e.speed(now)
		e.queued = slices.Delete(e.queued, 0, 1)
		job.finish = now + job.Seconds/speed
		e.running = append(e.running, job)
	}
}

// NextAt returns when Advance is next to be called; +Inf: not before another method is.
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

// Advance works up to now and returns the jobs that are done, in their order. The result is valid until the next call.
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

// togglePause starts a pause, or ends one.
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

// SetHung has the server make no progress, or go on.
func (e *Engine) SetHung(now float64, enabled bool) {
	switch {
	case enabled && !e.isHung:
		e.suspend(now)
		e.isHung = true
	case !enabled && e.isHung:
		e.isHung = false
		if e.isPausing { // a pause that was due to end meanwhile ends with it
			e.isPausing = false
			e.pauseAt = now + e.spec.PauseIntervalSeconds*e.rng.ExpFloat64()
		}
		e.pauseAt = max(e.pauseAt, now)
		e.resume(now)
	}
}

// suspend converts the finish times of running jobs into the time that they still need; resume converts them back.
//
// Danger: two conversions in a row would lose or gain time.
func (e *Engine) suspend(now float64) {
	if e.isHung || e.isPausing {
		return
	}
	for _, job := range e.running {
		job.finish -= now
	}
}

// resume ends a suspension; see suspend.
func (e *Engine) resume(now float64) {
	if e.isPaused() {
		return
	}
	for _, job := range e.running {
		job.finish += now
	}
	e.startQueued(now)
}

// SetConnections sets how many connections the server has.
func (e *Engine) SetConnections(n int) { e.connections = n }

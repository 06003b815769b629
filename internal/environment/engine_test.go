package environment

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawServerSpec draws a server of any kind.
func drawServerSpec(t *rapid.T) *ServerSpec {
	between := func(name string, least, most float64) float64 { return rapid.Float64Range(least, most).Draw(t, name) }
	return &ServerSpec{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), QueueLimit: rapid.IntRange(0, 6).Draw(t, "waiting"),
		ThrashFactor: between("thrash", 0, 0.2), ThrashThreshold: between("thrashAt", 0, 4), ColdCapacity: between("coldFrom", 0.1, 0.9),
		WarmupSeconds: between("coldS", 0.5, 20), WarmupWorkSeconds: between("warmWork", 0.5, 5), PauseIntervalSeconds: float64(rapid.IntRange(0, 20).Draw(t, "pauseS")) / 10,
		PauseSeconds: between("pauseLen", 0, 0.5), Overload: OverloadSpec{Multiple: 2.5, WindowSeconds: 1, SlackSeconds: between("slack", 0, 1)},
		MaxConnections: 100, ConnectionOverhead: between("tax", 0, 0.4), DropsCancelled: rapid.Bool().Draw(t, "cancelStops")}
}

// Through any operations, each job is done once, cancelled once or still in flight; no slot is empty while a job is queued;
// warmth never falls; and the engine is overloaded exactly when a window's work exceeds the budget.
func TestEngineKeepsItsJobsAndCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawServerSpec(t)
		cold := rapid.Bool().Draw(t, "cold")
		now := 100.0
		e := NewEngine(spec, randomStream(rapid.Uint64().Draw(t, "seed"), "test", 0), now, cold)
		state := map[*Job]int{} // 1: in flight
		var inFlight []*Job
		var arrivals []arrival
		warmth, overloaded := e.Warmth(now), false
		enqueue := func(j *Job) {
			state[j]++
			inFlight = append(inFlight, j)
		}
		complete := func(j *Job) {
			require.Equal(t, 1, state[j], "done or dropped once, and only what was taken")
			state[j]++
			for i := range inFlight {
				if inFlight[i] == j {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
					break
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			until := now + rapid.Float64Range(0, 0.6).Draw(t, "wait")
			for e.NextAt() <= until {
				now = max(now, e.NextAt())
				for _, j := range e.Advance(now) {
					complete(j)
				}
			}
			now = until
			switch rapid.IntRange(0, 5).Draw(t, "do") {
			case 0, 1, 2:
				j := &Job{Seconds: rapid.Float64Range(0, 1.5).Draw(t, "work")}
				before := e.Warmth(now)
				arrivals = append(arrivals, arrival{now, j.Seconds})
				sum := 0.0
				for _, a := range arrivals {
					if a.at >= now-spec.Overload.WindowSeconds {
						sum += a.seconds
					}
				}
				hasOverloaded := e.CountWork(now, j.Seconds)
				over := sum - 2.5*before*float64(spec.Slots) - spec.Overload.SlackSeconds
				if math.Abs(over) > 1e-9 {
					require.Equal(t, before < 1 && !overloaded && over > 0, hasOverloaded)
				}
				if overloaded = overloaded || hasOverloaded; before >= 1 {
					arrivals = nil
				}
				hasRoom := e.Queued() < spec.QueueLimit || !e.isPaused() && len(e.running) < spec.Slots
				taken := e.Enqueue(now, j)
				require.Equal(t, hasRoom, taken)
				if taken {
					enqueue(j)
				}
			case 3:
				e.SetHung(now, rapid.Bool().Draw(t, "hang"))
			case 4:
				if len(inFlight) > 0 {
					j := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")]
					if e.Cancel(j) {
						require.True(t, spec.DropsCancelled)
						complete(j)
					}
				}
			case 5:
				e.SetConnections(rapid.IntRange(0, 200).Draw(t, "connections"))
			}
			require.Len(t, inFlight, e.InFlight())
			require.LessOrEqual(t, len(e.running), spec.Slots)
			require.LessOrEqual(t, e.Queued(), spec.QueueLimit)
			if !e.isPaused() && len(e.running) < spec.Slots {
				require.Zero(t, e.Queued(), "a slot stands empty")
			}
			require.GreaterOrEqual(t, e.Warmth(now), warmth)
			require.LessOrEqual(t, e.Warmth(now), 1.0)
			require.Equal(t, overloaded, e.IsOverloaded())
			warmth = e.Warmth(now)
			if cold && now-100 >= spec.WarmupSeconds {
				require.Equal(t, 1.0, warmth)
			}
		}
		// Without further events an engine that is not overloaded completes all jobs.
		e.SetHung(now, false)
		for until := now + 1000; !overloaded && len(inFlight) > 0; {
			require.LessOrEqual(t, e.NextAt(), until)
			for _, j := range e.Advance(e.NextAt()) {
				complete(j)
			}
		}
	})
}

// The time of pauses and hangs is added to running jobs, to the microsecond, however they overlap.
func TestPausesExtendRunningJobs(t *testing.T) {
	spec := &ServerSpec{Slots: 1, QueueLimit: 5, PauseIntervalSeconds: 0.2, PauseSeconds: 0.1}
	e := NewEngine(spec, randomStream(1, "test", 0), 0, false)
	require.True(t, e.Enqueue(0, &Job{Seconds: 5}))
	paused, since := 0.0, math.NaN()
	for i := 0; ; i++ {
		at := e.NextAt()
		pausing := e.isPausing
		done := e.Advance(at)
		if !pausing && e.isPausing {
			since = at
		} else if pausing && !e.isPausing {
			paused += at - since
		}
		if len(done) > 0 {
			assert.InDelta(t, 5+paused+1, at, 1e-6)
			return
		}
		if i == 10 && !e.isPausing { // a hang of one second
			e.SetHung(at, true)
			require.Equal(t, math.Inf(1), e.NextAt())
			e.SetHung(at+1, false)
		} else if i == 10 {
			since++ // the pause ends with the hang, and counts once
			e.SetHung(at, true)
			e.SetHung(at+1, false)
			paused += at - (since - 1)
		}
		require.Less(t, i, 1000)
	}
}

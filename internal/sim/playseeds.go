package sim

import (
	"sync"
	"sync/atomic"
)

// Outcome is the result of a seed's day, or the error that kept it from being played.
type Outcome struct {
	Seed   uint64
	Result *Result
	Err    error
}

// PlaySeeds plays the days of the seeds from first to last on jobs goroutines and calls handle for each outcome, one at a time,
// in the order in which the days end. No further day starts once handle has returned false. A day's history does not depend on
// the days beside it.
func PlaySeeds(first, last uint64, jobs int, options Options, handle func(Outcome) bool) {
	var next atomic.Uint64
	next.Store(first)
	var stopped atomic.Bool
	outcomes := make(chan Outcome)
	var workers sync.WaitGroup
	for range max(jobs, 1) {
		workers.Go(func() {
			for !stopped.Load() {
				seed := next.Add(1) - 1
				if seed > last || seed < first {
					return
				}
				r, err := Play(options.DrawScript(seed), options)
				outcomes <- Outcome{seed, r, err}
			}
		})
	}
	go func() {
		workers.Wait()
		close(outcomes)
	}()
	for outcome := range outcomes {
		if !stopped.Load() && !handle(outcome) {
			stopped.Store(true)
		}
	}
}

package sim

import (
	"sync"
	"sync/atomic"
)

// Outcome is what came of a seed: a result, or what kept it from being played.
type Outcome struct {
	Seed   uint64
	Result *Result
	Err    error
}

// Fleet plays the days of seeds from first to last, so many at a time, and calls each for each outcome, one at a time
// but in the order in which they end. Where each returns false no more days are begun. Each day is a goroutine's own:
// its history does not depend on how many are played beside it.
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

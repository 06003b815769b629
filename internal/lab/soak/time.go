package soak

import (
	"context"
	"time"
)

// sleep returns after wait, or when ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// durationOfSeconds converts seconds, as settings give them, to a duration.
func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

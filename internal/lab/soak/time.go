package soak

import (
	"context"
	"time"
)

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

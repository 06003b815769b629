package processcluster

import (
	"context"
	"time"
)

// unixNow returns the Unix time in seconds.
func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// durationOfSeconds converts seconds to a duration.
func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for a duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// unixSeconds converts a time to Unix seconds.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

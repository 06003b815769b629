package processcluster

import (
	"context"
	"time"
)

func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rest waits for a while, and tells whether the play went on until then.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

package sockets

import "time"

// clock returns seconds of Unix time. The wall clock is read once at the start, and the monotonic clock from then on, so that later
// steps of the wall clock have no effect. Danger: with a clock that starts at 0, servers that were started before this program would
// have start times of 0 or less, which package policy takes for long ago, and a server that is warming up would count as warm.
type clock struct {
	startedAt    time.Time
	startSeconds float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.startSeconds + time.Since(c.startedAt).Seconds() }

// time converts a time of this clock to a time.Time.
func (c clock) time(at float64) time.Time {
	return c.startedAt.Add(time.Duration((at - c.startSeconds) * float64(time.Second)))
}

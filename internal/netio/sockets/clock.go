package sockets

import "time"

// clock gives the time in seconds of Unix time, read once and then counted by the monotonic clock: a step of
// the machine's clock moves nothing. Danger: on a clock that began at 0, whatever started before this program
// would have a start of 0 or less, which the decisions read as long ago, and a cold server as warm.
type clock struct {
	startedAt    time.Time
	startSeconds float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.startSeconds + time.Since(c.startedAt).Seconds() }

// time returns the point of time that at stands for.
func (c clock) time(at float64) time.Time {
	return c.startedAt.Add(time.Duration((at - c.startSeconds) * float64(time.Second)))
}

package sockets

import "time"

// clock returns seconds of Unix time: the system's clock is read once, and the time since is the monotonic clock's, so that a
// step of the system's clock has no effect. Danger: on a clock that starts at 0, whatever started before this program would
// have a start of 0 or less, which the decisions read as long ago, and a server that is warming up as warm.
type clock struct {
	startedAt    time.Time
	startSeconds float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.startSeconds + time.Since(c.startedAt).Seconds() }

// time returns the time.Time of a time of this clock.
func (c clock) time(at float64) time.Time {
	return c.startedAt.Add(time.Duration((at - c.startSeconds) * float64(time.Second)))
}

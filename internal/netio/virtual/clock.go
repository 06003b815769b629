package virtual

import "math"

// Now implements netio.EventLoop. It returns the time of the process's clock, including the duration of the calls in this turn so far.
func (p *Process) Now() float64 { return p.clock.localTime(p.networkTime()) }

// networkTime returns the network's time plus the duration of the calls in this turn so far.
func (p *Process) networkTime() float64 { return p.network.now + p.turnSeconds }

// clock is a process's clock. At the network's time since, it was offset seconds ahead; it gains drift seconds per second.
type clock struct{ since, offset, drift float64 }

// localTime converts a time of the network to a time of this clock.
func (c *clock) localTime(at float64) float64 { return at + (c.offset + (at-c.since)*c.drift) }

// networkTime converts a time of this clock to a time of the network. The result may be slightly late, but never early: at an early alarm
// a handler would find nothing due and set the same alarm again.
func (c *clock) networkTime(local float64) float64 {
	if *c == (clock{}) || math.IsInf(local, 0) {
		return local
	}
	return (local-c.offset+c.since*c.drift)/(1+c.drift) + clockRoundingSeconds
}

// clockRoundingSeconds is greater than the rounding error of Unix time in a float64.
const clockRoundingSeconds = 4e-6

// SetClockRate sets the speed of the process's clock from now on, relative to the network's clock. The offset reached so far is kept.
func (p *Process) SetClockRate(rate float64) {
	now := p.network.now
	p.clock = clock{since: now, offset: p.clock.localTime(now) - now, drift: rate - 1}
	if !math.IsNaN(p.alarmAt) {
		p.SetAlarm(p.localAlarmAt)
	}
}

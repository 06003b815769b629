package virtual

import "math"

// Now returns the time by the process's clock. Calls of the host take some, where the options say so.
func (p *Process) Now() float64 { return p.clock.localTime(p.networkTime()) }

// real returns the same by the world's time.
func (p *Process) networkTime() float64 { return p.network.now + p.turnSeconds }

// clock is a process's clock: it was ahead by so much at a time of the world, and gains so much in each second since.
type clock struct{ since, offset, drift float64 }

func (c *clock) localTime(at float64) float64 { return at + (c.offset + (at-c.since)*c.drift) }

// when returns when the clock will read so, or a little more. Danger: at less a host finds nothing due, and asks again.
func (c *clock) networkTime(local float64) float64 {
	if *c == (clock{}) || math.IsInf(local, 0) {
		return local
	}
	return (local-c.offset+c.since*c.drift)/(1+c.drift) + clockRoundingSeconds
}

// roundS is more than what rounding takes of a time of today.
const clockRoundingSeconds = 4e-6

// ClockRate has the process's clock run at a rate from now on; 1 is that of the world. What it is ahead or behind by then stays.
func (p *Process) SetClockRate(rate float64) {
	now := p.network.now
	p.clock = clock{since: now, offset: p.clock.localTime(now) - now, drift: rate - 1}
	if !math.IsNaN(p.alarmAt) {
		p.SetAlarm(p.localAlarmAt)
	}
}

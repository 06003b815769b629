package virtual

import "math"

// Now implements netio.EventLoop: the time by the process's clock, with the time that the calls of this turn took.
func (p *Process) Now() float64 { return p.clock.localTime(p.networkTime()) }

// networkTime returns the network's time, with the time that the calls of this turn took.
func (p *Process) networkTime() float64 { return p.network.now + p.turnSeconds }

// clock is a process's clock. At the network's time since it was offset seconds ahead, and it gains drift seconds a second.
type clock struct{ since, offset, drift float64 }

// localTime returns what the clock shows at a time of the network.
func (c *clock) localTime(at float64) float64 { return at + (c.offset + (at-c.since)*c.drift) }

// networkTime returns when the clock shows a time, or slightly later. Danger: slightly earlier, a handler finds nothing due and
// asks for the same alarm again.
func (c *clock) networkTime(local float64) float64 {
	if *c == (clock{}) || math.IsInf(local, 0) {
		return local
	}
	return (local-c.offset+c.since*c.drift)/(1+c.drift) + clockRoundingSeconds
}

// clockRoundingSeconds exceeds the rounding error of a float64 of Unix time.
const clockRoundingSeconds = 4e-6

// SetClockRate sets the speed of the process's clock from now on; 1 is the network's. The offset reached so far stays.
func (p *Process) SetClockRate(rate float64) {
	now := p.network.now
	p.clock = clock{since: now, offset: p.clock.localTime(now) - now, drift: rate - 1}
	if !math.IsNaN(p.alarmAt) {
		p.SetAlarm(p.localAlarmAt)
	}
}

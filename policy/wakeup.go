package policy

import "slices"

// due arms a wake-up for a time, unless an earlier one is armed.
func (b *Balancer) due(at float64) {
	if b.armed && b.wake > b.now-1 && b.wake <= at {
		return
	}
	b.armed, b.wake = true, max(at, b.now+b.s.TickSeconds)
	b.do.WakeAfter(b.wake - b.now)
}

// Wake does what is due.
func (b *Balancer) Wake(now float64) {
	b.now = now
	if now < b.wake-b.s.TickSeconds/2 {
		return // a wake-up that an earlier one has replaced
	}
	b.armed = false
	if b.s.ListOnDemand && !b.watching {
		if now >= b.askAt {
			b.do.Watch()
			b.askAt = now + max(0.5*b.s.MaxListRequestGapSeconds, 1)
		}
		b.due(b.askAt)
	}
	b.resize()
	b.sendProbes()
	if r := b.queue.first(); r != nil {
		b.due(r.decideAt)
	}
	for i := 0; i < len(b.live); i++ {
		r := b.live[i]
		if now >= r.Deadline && !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done }) {
			b.giveUp(r)
			i--
			continue
		}
		b.due(r.Deadline)
	}
	b.pump()
}

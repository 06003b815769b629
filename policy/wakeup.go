package policy

import "slices"

// due arms a wake-up for a time, unless an earlier one is armed.
func (b *Balancer) armWake(at float64) {
	if b.isWakeArmed && b.wakeAt > b.now-1 && b.wakeAt <= at {
		return
	}
	b.isWakeArmed, b.wakeAt = true, max(at, b.now+b.settings.TickSeconds)
	b.actions.WakeAfter(b.wakeAt - b.now)
}

// Wake does what is due.
func (b *Balancer) Wake(now float64) {
	b.now = now
	if now < b.wakeAt-b.settings.TickSeconds/2 {
		return // a wake-up that an earlier one has replaced
	}
	b.isWakeArmed = false
	if b.settings.ListOnDemand && !b.isWatching {
		if now >= b.listRequestAt {
			b.actions.Watch()
			b.listRequestAt = now + max(0.5*b.settings.MaxListRequestGapSeconds, 1)
		}
		b.armWake(b.listRequestAt)
	}
	b.resizeSubset()
	b.sendProbes()
	if r := b.queue.peek(); r != nil {
		b.armWake(r.dispatchAt)
	}
	for i := 0; i < len(b.liveRequests); i++ {
		r := b.liveRequests[i]
		if now >= r.Deadline && !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.isDone }) {
			b.answerUnserved(r)
			i--
			continue
		}
		b.armWake(r.Deadline)
	}
	b.dispatchDue()
}

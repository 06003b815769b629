package policy

import "slices"

// armWake arms a wake-up at the given time, or one tick from now if that is later, unless an earlier one is armed. An armed
// wake-up that is more than a second overdue counts as lost.
func (b *Balancer) armWake(at float64) {
	if b.isWakeArmed && b.wakeAt > b.now-1 && b.wakeAt <= at {
		return
	}
	b.isWakeArmed = true
	b.wakeAt = max(at, b.now+b.settings.TickSeconds)
	b.actions.WakeAfter(b.wakeAt - b.now)
}

// Wake does everything that is due: list requests, probes, requests whose deadline has passed, and dispatches. The host program
// calls it after each Actions.WakeAfter; a call for a wake-up that has been replaced by a later one does nothing.
func (b *Balancer) Wake(now float64) {
	b.now = now
	if now < b.wakeAt-b.settings.TickSeconds/2 {
		return
	}
	b.isWakeArmed = false
	b.requestList()
	b.resizeSubset()
	b.sendProbes()
	if r := b.queue.peek(); r != nil {
		b.armWake(r.dispatchAt)
	}
	b.answerOverdue()
	b.dispatchDue()
}

// requestList subscribes to the list when that is due. If the list does not come, it is requested again well before
// MaxListRequestGapSeconds have passed.
func (b *Balancer) requestList() {
	if !b.settings.ListOnDemand || b.isWatching {
		return
	}
	if b.now >= b.listRequestAt {
		b.actions.Watch()
		b.listRequestAt = b.now + max(0.5*b.settings.MaxListRequestGapSeconds, 1)
	}
	b.armWake(b.listRequestAt)
}

// answerOverdue answers the requests whose deadline has passed and that have no attempt in flight. An attempt in flight ends at
// the deadline by itself.
func (b *Balancer) answerOverdue() {
	for i := 0; i < len(b.liveRequests); i++ {
		r := b.liveRequests[i]
		isInFlight := slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.isDone })
		if b.now >= r.Deadline && !isInFlight {
			b.answerUnserved(r)
			i-- // finishRequest has moved the last request to this index
			continue
		}
		b.armWake(r.Deadline)
	}
}

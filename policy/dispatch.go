package policy

import "slices"

const (
	repollFraction      = 0.12 // of the aim: when a held request looks again
	maxHoldFraction     = 0.15 // of the aim: longest hold of a request nobody can take
	estimateRelaxFactor = 0.98 // what estimates keep at each request that nobody could take
)

// want asks for a send of a request, after fresh reports where they must be fetched.
func (b *Balancer) dispatch(r *request) {
	r.isWaiting = true
	b.queue.schedule(r, b.now)
	if !b.pollsReports || len(b.members) == 0 || r.targetAt <= b.now {
		b.sendOrHold(r)
		return
	}
	b.updatePhi()
	b.pollReports(r)
}

// place sends a waiting request, holds it or gives it up.
func (b *Balancer) sendOrHold(r *request) {
	if h := r.suspectHost; h != nil && b.pollsReports && h.reportSentAt < r.lostAt-b.settings.TickSeconds {
		r.targetAt = b.now
		b.answerUnserved(r) // it was the host that died, not the connection alone
		return
	}
	if b.trySend(r) {
		return
	}
	hopeless := r.HasWork && b.pollsReports && b.now+hintedTimeFactor*b.serviceSeconds*r.relativeWork > r.targetAt // even for an idle host
	if r.isOverShare || hopeless || b.now-r.arrivedAt >= maxHoldFraction*(r.targetAt-r.arrivedAt) {
		// Danger: an estimate that lets nothing through is never corrected by an answer. It fades.
		for _, guess := range [...]*float64{&b.serviceSeconds, &b.classMeanSeconds[r.Request.Class]} {
			if guessedTimeFactor**guess > 0.8*r.class.LatencyTargetSeconds {
				*guess *= estimateRelaxFactor
			}
		}
		b.answerUnserved(r)
		return
	}
	r.isHeld = true
	b.queue.schedule(r, min(b.now+max(repollFraction*r.class.LatencyTargetSeconds, b.settings.TickSeconds), r.Deadline-b.settings.TickSeconds))
	b.armWake(r.dispatchAt)
}

// settle sends a waiting request if there is a host for it, and tells whether.
func (b *Balancer) trySend(r *request) bool {
	h := b.pickHost(r)
	if h == nil || !b.startAttempt(r, h) {
		return false
	}
	r.isWaiting = false
	b.queue.remove(r)
	return true
}

// giveUp answers a request at once: refused if nothing may have run, else failed. Its aim is kept for the
// client's next try: work on a marked repeat is lost once the aim of the first try has passed.
func (b *Balancer) answerUnserved(r *request) {
	e := unservedRequest{r.Request.Class, r.Tenant, r.Key, r.targetAt, r.arrivedAt + r.class.TotalTimeoutSeconds}
	b.unserved = b.unserved.appended(e, b.now)
	if b.isSafeToRefuse(r) {
		b.actions.Refuse(r.ID, b.settings.MaxRetryAfterSeconds*(0.5+0.5*b.rng.Float64()))
	} else {
		b.actions.Fail(r.ID)
	}
	b.finishRequest(r, true)
}

// pump places the requests whose time has come; of those that wait for polls, once all of them are answered.
func (b *Balancer) dispatchDue() {
	due, wait := b.now, b.pollTimeout()
	if b.pollsReports && b.queue.len() > 0 && !slices.ContainsFunc(b.members, func(h *host) bool {
		return h.polledAt > 0 && b.now-h.polledAt < wait
	}) {
		due += wait
	}
	for _, r := range b.queue.popDue(due) {
		if r.isHeld && b.pollsReports {
			r.isHeld = false
			b.pollReports(r)
		} else {
			b.sendOrHold(r)
		}
	}
}

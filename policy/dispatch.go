package policy

import "slices"

const (
	// repollFraction is the interval at which a held request is dispatched again, as a fraction of its class's latency target.
	repollFraction = 0.12
	// maxHoldFraction is how long a request that no host can take is held at most, as a fraction of the time to its target. A
	// higher value serves more requests after a burst; a lower one leaves clients more time for a retry elsewhere.
	maxHoldFraction = 0.15
	// estimateRelaxFactor is the factor by which an estimate shrinks with each request that is refused because of it.
	estimateRelaxFactor = 0.98
)

// dispatch sends or holds a request at once, or first queues it until the load reports that the pick needs have arrived.
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

// sendOrHold sends a waiting request if a host can take it. Otherwise it holds the request for another dispatch, or answers it as
// unserved if it has been held long enough, exceeds its tenant's share or can't meet its target at any host.
func (b *Balancer) sendOrHold(r *request) {
	if h := r.suspectHost; h != nil && b.pollsReports && h.reportSentAt < r.lostAt-b.settings.TickSeconds {
		// The host has not answered since it reset the connection: it has crashed, possibly because of this request.
		r.targetAt = b.now
		b.answerUnserved(r)
		return
	}
	if b.trySend(r) {
		return
	}
	// Not even an idle host would meet the target.
	cannotMeetTarget := r.HasWork && b.pollsReports && b.now+hintedTimeFactor*b.serviceSeconds*r.relativeWork > r.targetAt
	if r.isOverShare || cannotMeetTarget || b.now-r.arrivedAt >= maxHoldFraction*(r.targetAt-r.arrivedAt) {
		b.relaxEstimates(r)
		b.answerUnserved(r)
		return
	}
	r.isHeld = true
	holdSeconds := max(repollFraction*r.class.LatencyTargetSeconds, b.settings.TickSeconds)
	b.queue.schedule(r, min(b.now+holdSeconds, r.Deadline-b.settings.TickSeconds))
	b.armWake(r.dispatchAt)
}

// relaxEstimates shrinks the estimates because of which a request was refused. An estimate that is too high to let any request
// through would otherwise never be corrected by an answer.
func (b *Balancer) relaxEstimates(r *request) {
	for _, estimate := range [...]*float64{&b.serviceSeconds, &b.classMeanSeconds[r.Request.Class]} {
		if guessedTimeFactor**estimate > 0.8*r.class.LatencyTargetSeconds {
			*estimate *= estimateRelaxFactor
		}
	}
}

// trySend sends a waiting request if there is a host for it, and returns whether there was.
func (b *Balancer) trySend(r *request) bool {
	h := b.pickHost(r)
	if h == nil || !b.startAttempt(r, h) {
		return false
	}
	r.isWaiting = false
	b.queue.remove(r)
	return true
}

// answerUnserved gives a request its final answer without a host: refused if a retry is harmless, otherwise failed. It remembers
// the target for the client's next try, since work on that is wasted once the target of the first try has passed.
func (b *Balancer) answerUnserved(r *request) {
	b.unserved = b.unserved.appended(unservedRequest{
		class:     r.Request.Class,
		tenant:    r.Tenant,
		key:       r.Key,
		targetAt:  r.targetAt,
		expiresAt: r.arrivedAt + r.class.TotalTimeoutSeconds,
	}, b.now)
	if b.isSafeToRefuse(r) {
		b.actions.Refuse(r.ID, b.settings.MaxRetryAfterSeconds*(0.5+0.5*b.rng.Float64()))
	} else {
		b.actions.Fail(r.ID)
	}
	b.finishRequest(r, true)
}

// dispatchDue dispatches the queued requests that are due. Where reports are polled and no poll is outstanding any more, it also
// dispatches the requests that were waiting for polls.
func (b *Balancer) dispatchDue() {
	dueAt, timeoutSeconds := b.now, b.pollTimeout()
	if b.pollsReports && b.queue.len() > 0 && !slices.ContainsFunc(b.members, func(h *host) bool {
		return h.polledAt > 0 && b.now-h.polledAt < timeoutSeconds
	}) {
		dueAt += timeoutSeconds
	}
	for _, r := range b.queue.popDue(dueAt) {
		if r.isHeld && b.pollsReports {
			r.isHeld = false
			b.pollReports(r)
		} else {
			b.sendOrHold(r)
		}
	}
}

package policy

import "slices"

const (
	// repollFraction, of the class's latency target, is the interval at which a held request is dispatched again.
	repollFraction = 0.12
	// maxHoldFraction, of the time to a request's target, is the longest hold of a request that no host can take. More serves
	// more requests after a burst; less leaves clients more time for another try elsewhere.
	maxHoldFraction = 0.15
	// estimateRelaxFactor is by what factor an estimate shrinks with each request that it made be refused.
	estimateRelaxFactor = 0.98
)

// dispatch sends a request, or queues it until the load reports that the pick needs have come.
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

// sendOrHold sends a waiting request if a host can take it. Else it holds the request for another dispatch, or answers it
// as unserved when it was held long enough, is over its tenant's share or could not be answered by its target at all.
func (b *Balancer) sendOrHold(r *request) {
	if h := r.suspectHost; h != nil && b.pollsReports && h.reportSentAt < r.lostAt-b.settings.TickSeconds {
		// The host has not answered since it reset the connection: it crashed, maybe by this request.
		r.targetAt = b.now
		b.answerUnserved(r)
		return
	}
	if b.trySend(r) {
		return
	}
	hopeless := r.HasWork && b.pollsReports && b.now+hintedTimeFactor*b.serviceSeconds*r.relativeWork > r.targetAt // even at an idle host
	if r.isOverShare || hopeless || b.now-r.arrivedAt >= maxHoldFraction*(r.targetAt-r.arrivedAt) {
		b.relaxEstimates(r)
		b.answerUnserved(r)
		return
	}
	r.isHeld = true
	holdSeconds := max(repollFraction*r.class.LatencyTargetSeconds, b.settings.TickSeconds)
	b.queue.schedule(r, min(b.now+holdSeconds, r.Deadline-b.settings.TickSeconds))
	b.armWake(r.dispatchAt)
}

// relaxEstimates shrinks the estimates by which a request was refused. Danger: an estimate that lets no request through is
// never corrected by an answer.
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

// answerUnserved gives a request its final answer without a host's: refused if a retry is harmless, else failed. Its target is
// kept for the client's next try, since work on that is lost once the target of the first try has passed.
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

// dispatchDue dispatches the queued requests that are due, and where reports are polled also those that wait for answers of
// polls when none is outstanding any more.
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

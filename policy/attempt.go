package policy

import "slices"

const (
	// sendDecaySeconds is the time constant of this proxy's send rate.
	sendDecaySeconds = 10.0
	// fastAnswerFraction is the delay, as a fraction of the tightest latency target, below which an answer shows that the host has
	// spare capacity.
	fastAnswerFraction = 0.1
	// minExpectedSeconds is the lower bound of expected delays, which are used as divisors.
	minExpectedSeconds = 1e-6
)

// startAttempt sends a request to a host and returns whether the rules allowed it. All sends go through it.
func (b *Balancer) startAttempt(r *request, h *host) bool {
	if b.now >= r.Deadline || len(r.attempts) >= max(b.settings.MaxAttempts, 1) || !b.mayAttempt(r, h) {
		return false
	}
	h.windowSent += r.relativeWork
	b.sendRate.add(b.now, sendDecaySeconds, r.relativeWork)
	r.attempts = append(r.attempts, attempt{host: h, sentAt: b.now, mayHaveRun: true})
	hinted, guessed := b.expectedTimes(h, r)
	h.inFlight = append(h.inFlight, inFlightAttempt{
		requestID:            r.ID,
		class:                r.Request.Class,
		sentAt:               b.now,
		expectedSeconds:      max(hinted+guessed, minExpectedSeconds),
		expectedQueueSeconds: b.queueDelay(h),
		connIdleSeconds:      b.useIdleConn(h),
	})
	b.actions.Send(r.ID, h.ID)
	b.armWake(r.Deadline)
	return true
}

// mayAttempt returns whether the rules let a request go to a host now. The host must take new requests and, while it warms up,
// have budget left, and no earlier attempt may rule out another one. After an earlier attempt that may have run, another is
// allowed only if the class is Safe, or if it is Keyed, the host shares the keys of the earlier host, and the deduplication
// window has not ended. While the earlier attempt is in flight, the new one must also be a hedge to another host.
func (b *Balancer) mayAttempt(r *request, h *host) bool {
	if h.isWithdrawn || !b.hasSlowStartBudget(h) {
		return false
	}
	class := r.class
	for i := range r.attempts {
		earlier := &r.attempts[i]
		sharesKeys := class.Group == GroupAll ||
			class.Group == GroupZone && earlier.host.Zone == h.Zone ||
			class.Group == GroupCell && earlier.host.Cell == h.Cell
		isRepeatable := class.Effect == Safe ||
			class.Effect == Keyed && sharesKeys && b.now < earlier.sentAt+class.DedupWindowSeconds
		if earlier.mayHaveRun && (!earlier.isDone && (!b.settings.HedgingAllowed || earlier.host == h) || !isRepeatable) {
			return false
		}
	}
	return true
}

// isSafeToRefuse returns whether the client may be told that a retry is harmless: no host has executed the request, the request
// is idempotent, or all hosts drop repeats of it.
func (b *Balancer) isSafeToRefuse(r *request) bool {
	return r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// AttemptDone handles the end of an attempt that Actions.Send started. It may come after the request's final answer.
func (b *Balancer) AttemptDone(now float64, res Result) {
	b.now = now
	h := b.hosts[res.Host]
	onlyConnLost := h != nil && b.learnOutcome(h, res)
	r := b.requestsByID[res.ID]
	if r == nil || res.Attempt < 0 || res.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[res.Attempt]
	a.isDone = true
	a.mayHaveRun = a.mayHaveRun && !res.Outcome.NeverRan()
	// Some requests crash or hang every host that executes them, and each attempt or retry would take down another host. One proxy
	// sees too few such requests to recognize them. A request that was lost in execution is therefore not sent again, and its
	// target is set to now, so that its marked retries are refused within the client's total timeout. The drawback is that
	// requests lost by a fault of the host are not retried either, but their targets have mostly passed by then.
	lostInExecution := !res.Final && (res.Outcome == TimedOut || res.Outcome == Reset && (!onlyConnLost || r.suspectHost != nil))
	if res.Outcome == Reset {
		r.suspectHost = h
		r.lostAt = now
	}
	switch {
	case res.Final:
		b.finishRequest(r, true)
	case lostInExecution && !r.isWaiting:
		r.targetAt = now
		b.answerUnserved(r)
	case now >= r.Deadline-b.settings.TickSeconds/2, !r.isWaiting:
		b.retry(r)
	}
	b.dispatchDue()
	if res.Outcome == OK && res.DelaySeconds < fastAnswerFraction*b.tightestTargetSeconds && !b.pollsReports {
		b.sendQueued()
	}
}

// sendQueued sends the first requests of the queue before they are due, as long as there are hosts for them; otherwise a host
// would be idle while requests wait for their next dispatch. It is called after an answer that shows spare capacity at a host. A
// host with a queue is left to work it off.
func (b *Balancer) sendQueued() {
	for {
		first := b.queue.peek()
		if first == nil || !b.trySend(first) {
			return
		}
	}
}

// retry dispatches a request again after a failed attempt if its target, the limit of attempts, the retry budget and the rules
// allow it; otherwise it answers the request as unserved.
func (b *Balancer) retry(r *request) {
	if b.now < r.targetAt && len(r.attempts) < b.settings.MaxAttempts && b.retryBudget >= 1 &&
		slices.ContainsFunc(b.members, func(h *host) bool { return b.mayAttempt(r, h) }) {
		b.retryBudget--
		b.dispatch(r)
		return
	}
	b.answerUnserved(r)
}

// finishRequest forgets a request that has its final answer. With cancelInFlight it also cancels the attempts in flight, if the
// host program can do so.
func (b *Balancer) finishRequest(r *request, cancelInFlight bool) {
	for i := range r.attempts {
		if cancelInFlight && b.settings.CanCancel && !r.attempts[i].isDone {
			b.actions.Cancel(r.ID, i)
		}
	}
	b.queue.remove(r)
	last := b.liveRequests[len(b.liveRequests)-1]
	b.liveRequests[r.liveIndex] = last
	last.liveIndex = r.liveIndex
	b.liveRequests = b.liveRequests[:len(b.liveRequests)-1]
	delete(b.requestsByID, r.ID)
}

// StreamStarted records that a streamed answer has begun, which is the request's final answer. The attempt stays in flight.
func (b *Balancer) StreamStarted(now float64, id uint32) { b.endRequest(now, id, false) }

// Abandoned records that a client has disconnected: its request needs no answer, and its attempts are cancelled.
func (b *Balancer) Abandoned(now float64, id uint32) { b.endRequest(now, id, true) }

func (b *Balancer) endRequest(now float64, id uint32, cancelInFlight bool) {
	b.now = now
	if r := b.requestsByID[id]; r != nil {
		b.finishRequest(r, cancelInFlight)
	}
}

// ownSendRate returns the rate at which this proxy sends work, in requests of mean work a second.
func (b *Balancer) ownSendRate() float64 { return b.sendRate.valueAt(b.now, sendDecaySeconds) }

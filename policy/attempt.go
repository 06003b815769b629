package policy

import "slices"

const (
	sendDecaySeconds   = 10.0 // over which own traffic is measured
	fastAnswerFraction = 0.1  // of the aim: an answer within it came from a host that has room
)

// attempt is one send of a request.
type attempt struct {
	host       *host
	sentAt     float64
	isDone     bool
	mayHaveRun bool // may have run; true until an outcome proves otherwise
}

// send is the gate through which every send passes. It refuses what the rules forbid.
func (b *Balancer) startAttempt(r *request, h *host) bool {
	if b.now >= r.Deadline || len(r.attempts) >= max(b.settings.MaxAttempts, 1) || !b.mayAttempt(r, h) {
		return false
	}
	h.windowSent += r.relativeWork
	b.sendRate.add(b.now, sendDecaySeconds, r.relativeWork)
	r.attempts = append(r.attempts, attempt{host: h, sentAt: b.now, mayHaveRun: true})
	hint, rest := b.expectedTimes(h, r)
	o := inFlightAttempt{requestID: r.ID, class: r.Request.Class, sentAt: b.now, expectedSeconds: max(hint+rest, 1e-6), expectedQueueSeconds: b.queueDelay(h)}
	if len(h.inFlight) == 0 && b.now-h.lastResponseAt < b.settings.ConnIdleTimeoutSeconds {
		if o.connIdleSeconds = b.now - h.lastResponseAt; o.connIdleSeconds > b.maxConnIdleSeconds && b.now < b.idleDistrustUntil {
			b.actions.CloseIdle(h.ID)
			o.connIdleSeconds = 0
		}
	}
	h.inFlight = append(h.inFlight, o)
	b.actions.Send(r.ID, h.ID)
	b.armWake(r.Deadline)
	return true
}

// allowed tells whether the rules let a request go to a host: drains, cold budget, what its class allows.
func (b *Balancer) mayAttempt(r *request, h *host) bool {
	if h.isWithdrawn || !b.hasSlowStartBudget(h) {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		same := c.Group == GroupAll || c.Group == GroupZone && a.host.Zone == h.Zone ||
			c.Group == GroupCell && a.host.Cell == h.Cell
		repeat := c.Effect == Safe || c.Effect == Keyed && same && b.now < a.sentAt+c.DedupWindowSeconds
		if a.mayHaveRun && (!a.isDone && (!b.settings.HedgingAllowed || a.host == h) || !repeat) {
			return false
		}
	}
	return true
}

// mayRefuse tells whether the client may be told that trying again is harmless.
func (b *Balancer) isSafeToRefuse(r *request) bool {
	return r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// AttemptDone takes the end of an attempt.
func (b *Balancer) AttemptDone(now float64, res Result) {
	b.now = now
	h := b.hosts[res.Host]
	quick := h != nil && b.learnOutcome(h, res)
	r := b.requestsByID[res.ID]
	if r == nil || res.Attempt < 0 || res.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[res.Attempt]
	a.isDone = true
	a.mayHaveRun = a.mayHaveRun && !res.Outcome.NeverRan()
	// Danger: some requests crash or hang whichever host begins them; each send or repeat costs another host.
	// A proxy sees too few to count: what was lost in work is not sent again, its marked repeats are refused
	// within the client's total wait. It costs what a host's own fault has lost; its aim has mostly passed.
	lost := !res.Final && (res.Outcome == TimedOut || res.Outcome == Reset && (!quick || r.suspectHost != nil))
	if res.Outcome == Reset {
		r.suspectHost, r.lostAt = h, now
	}
	switch {
	case res.Final:
		b.finishRequest(r, true)
	case lost && !r.isWaiting:
		r.targetAt = now
		b.answerUnserved(r)
	case now >= r.Deadline-b.settings.TickSeconds/2, !r.isWaiting:
		b.retry(r)
	}
	b.dispatchDue()
	// Danger: hosts are idle while requests wait for their next look. What a host far from its limits has
	// made free goes to the first; one with a line must have time to work it off.
	brisk := res.Outcome == OK && res.DelaySeconds < fastAnswerFraction*b.tightestTargetSeconds && !b.pollsReports
	for first := b.queue.peek(); brisk && first != nil && b.trySend(first); first = b.queue.peek() {
	}
}

// again tries a request once more after a failed attempt, or gives it up.
func (b *Balancer) retry(r *request) {
	if b.now < r.targetAt && len(r.attempts) < b.settings.MaxAttempts && b.retryBudget >= 1 &&
		slices.ContainsFunc(b.members, func(h *host) bool { return b.mayAttempt(r, h) }) {
		b.retryBudget--
		b.dispatch(r)
		return
	}
	b.answerUnserved(r)
}

// finish forgets a request that has its final answer and cancels what is still out for it.
func (b *Balancer) finishRequest(r *request, cancel bool) {
	for i := range r.attempts {
		if cancel && b.settings.CanCancel && !r.attempts[i].isDone {
			b.actions.Cancel(r.ID, i)
		}
	}
	b.queue.remove(r)
	last := b.liveRequests[len(b.liveRequests)-1]
	b.liveRequests[r.liveIndex], last.liveIndex = last, r.liveIndex
	b.liveRequests = b.liveRequests[:len(b.liveRequests)-1]
	delete(b.requestsByID, r.ID)
}

// StreamStarted takes the start of a streamed answer: the request has its answer.
func (b *Balancer) StreamStarted(now float64, id uint32) { b.endRequest(now, id, false) }

// Abandoned takes the departure of a client: nothing is owed any more.
func (b *Balancer) Abandoned(now float64, id uint32) { b.endRequest(now, id, true) }

func (b *Balancer) endRequest(now float64, id uint32, cancel bool) {
	if b.now = now; b.requestsByID[id] != nil {
		b.finishRequest(b.requestsByID[id], cancel)
	}
}

// usualRate is this proxy's own traffic in requests of usual work a second.
func (b *Balancer) ownSendRate() float64 { return b.sendRate.valueAt(b.now, sendDecaySeconds) }

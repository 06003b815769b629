package policy

import "slices"

const (
	rateMemory = 10.0 // over which own traffic is measured
	briskPart  = 0.1  // of the aim: an answer within it came from a host that has room
)

// attempt is one send of a request.
type attempt struct {
	host   *host
	sentAt float64
	done   bool
	ran    bool // may have run; true until an outcome proves otherwise
}

// send is the gate through which every send passes. It refuses what the rules forbid.
func (b *Balancer) send(r *request, h *host) bool {
	if b.now >= r.Deadline || len(r.attempts) >= max(b.s.MaxAttempts, 1) || !b.allowed(r, h) {
		return false
	}
	h.winSent += r.units
	b.sends.add(b.now, rateMemory, r.units)
	r.attempts = append(r.attempts, attempt{host: h, sentAt: b.now, ran: true})
	hint, rest := b.expect(h, r)
	o := out{id: r.ID, class: r.Request.Class, sentAt: b.now, expected: max(hint+rest, 1e-6), line: b.line(h)}
	if len(h.outs) == 0 && b.now-h.servedAt < b.s.ConnIdleTimeoutSeconds {
		if o.idle = b.now - h.servedAt; o.idle > b.dropAge && b.now < b.dropUntil {
			b.do.CloseIdle(h.ID)
			o.idle = 0
		}
	}
	h.outs = append(h.outs, o)
	b.do.Send(r.ID, h.ID)
	b.due(r.Deadline)
	return true
}

// allowed tells whether the rules let a request go to a host: drains, cold budget, what its class allows.
func (b *Balancer) allowed(r *request, h *host) bool {
	if h.bound || !b.coldRoom(h) {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		same := c.Group == GroupAll || c.Group == GroupZone && a.host.Zone == h.Zone ||
			c.Group == GroupCell && a.host.Cell == h.Cell
		repeat := c.Effect == Safe || c.Effect == Keyed && same && b.now < a.sentAt+c.DedupWindowSeconds
		if a.ran && (!a.done && (!b.s.HedgingAllowed || a.host == h) || !repeat) {
			return false
		}
	}
	return true
}

// mayRefuse tells whether the client may be told that trying again is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.ran })
}

// AttemptDone takes the end of an attempt.
func (b *Balancer) AttemptDone(now float64, res Result) {
	b.now = now
	h := b.hosts[res.Host]
	quick := h != nil && b.learn(h, res)
	r := b.byID[res.ID]
	if r == nil || res.Attempt < 0 || res.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[res.Attempt]
	a.done = true
	a.ran = a.ran && !res.Outcome.NeverRan()
	// Danger: some requests crash or hang whichever host begins them; each send or repeat costs another host.
	// A proxy sees too few to count: what was lost in work is not sent again, its marked repeats are refused
	// within the client's total wait. It costs what a host's own fault has lost; its aim has mostly passed.
	lost := !res.Final && (res.Outcome == TimedOut || res.Outcome == Reset && (!quick || r.suspect != nil))
	if res.Outcome == Reset {
		r.suspect, r.lostAt = h, now
	}
	switch {
	case res.Final:
		b.finish(r, true)
	case lost && !r.waiting:
		r.aim = now
		b.giveUp(r)
	case now >= r.Deadline-b.s.TickSeconds/2, !r.waiting:
		b.again(r)
	}
	b.pump()
	// Danger: hosts are idle while requests wait for their next look. What a host far from its limits has
	// made free goes to the first; one with a line must have time to work it off.
	brisk := res.Outcome == OK && res.DelaySeconds < briskPart*b.aim && !b.polls
	for first := b.queue.first(); brisk && first != nil && b.settle(first); first = b.queue.first() {
	}
}

// again tries a request once more after a failed attempt, or gives it up.
func (b *Balancer) again(r *request) {
	if b.now < r.aim && len(r.attempts) < b.s.MaxAttempts && b.budget >= 1 &&
		slices.ContainsFunc(b.members, func(h *host) bool { return b.allowed(r, h) }) {
		b.budget--
		b.want(r)
		return
	}
	b.giveUp(r)
}

// finish forgets a request that has its final answer and cancels what is still out for it.
func (b *Balancer) finish(r *request, cancel bool) {
	for i := range r.attempts {
		if cancel && b.s.CanCancel && !r.attempts[i].done {
			b.do.Cancel(r.ID, i)
		}
	}
	b.queue.drop(r)
	last := b.live[len(b.live)-1]
	b.live[r.index], last.index = last, r.index
	b.live = b.live[:len(b.live)-1]
	delete(b.byID, r.ID)
}

// StreamStarted takes the start of a streamed answer: the request has its answer.
func (b *Balancer) StreamStarted(now float64, id uint32) { b.leave(now, id, false) }

// Abandoned takes the departure of a client: nothing is owed any more.
func (b *Balancer) Abandoned(now float64, id uint32) { b.leave(now, id, true) }

func (b *Balancer) leave(now float64, id uint32, cancel bool) {
	if b.now = now; b.byID[id] != nil {
		b.finish(b.byID[id], cancel)
	}
}

// usualRate is this proxy's own traffic in requests of usual work a second.
func (b *Balancer) usualRate() float64 { return b.sends.now(b.now, rateMemory) }

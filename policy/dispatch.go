package policy

import "slices"

const (
	repollPart = 0.12 // of the aim: when a held request looks again
	holdPart   = 0.15 // of the aim: longest hold of a request nobody can take
	relax      = 0.98 // what estimates keep at each request that nobody could take
)

// want asks for a send of a request, after fresh reports where they must be fetched.
func (b *Balancer) want(r *request) {
	r.waiting = true
	b.queue.put(r, b.now)
	if !b.polls || len(b.members) == 0 || r.aim <= b.now {
		b.place(r)
		return
	}
	b.readPhi()
	b.poll(r)
}

// place sends a waiting request, holds it or gives it up.
func (b *Balancer) place(r *request) {
	if h := r.suspect; h != nil && b.polls && h.seenAt < r.lostAt-b.s.TickSeconds {
		r.aim = b.now
		b.giveUp(r) // it was the host that died, not the connection alone
		return
	}
	if b.settle(r) {
		return
	}
	hopeless := r.HasWork && b.polls && b.now+hope*b.svc*r.units > r.aim // even for an idle host
	if r.over || hopeless || b.now-r.arrived >= holdPart*(r.aim-r.arrived) {
		// Danger: an estimate that lets nothing through is never corrected by an answer. It fades.
		for _, guess := range [...]*float64{&b.svc, &b.classMean[r.Request.Class]} {
			if doubt**guess > 0.8*r.class.LatencyTargetSeconds {
				*guess *= relax
			}
		}
		b.giveUp(r)
		return
	}
	r.held = true
	b.queue.put(r, min(b.now+max(repollPart*r.class.LatencyTargetSeconds, b.s.TickSeconds), r.Deadline-b.s.TickSeconds))
	b.due(r.decideAt)
}

// settle sends a waiting request if there is a host for it, and tells whether.
func (b *Balancer) settle(r *request) bool {
	h := b.pick(r)
	if h == nil || !b.send(r, h) {
		return false
	}
	r.waiting = false
	b.queue.drop(r)
	return true
}

// giveUp answers a request at once: refused if nothing may have run, else failed. Its aim is kept for the
// client's next try: work on a marked repeat is lost once the aim of the first try has passed.
func (b *Balancer) giveUp(r *request) {
	e := ended{r.Request.Class, r.Tenant, r.Key, r.aim, r.arrived + r.class.TotalTimeoutSeconds}
	b.unserved = b.unserved.with(e, b.now)
	if b.mayRefuse(r) {
		b.do.Refuse(r.ID, b.s.MaxRetryAfterSeconds*(0.5+0.5*b.rng.Float64()))
	} else {
		b.do.Fail(r.ID)
	}
	b.finish(r, true)
}

// pump places the requests whose time has come; of those that wait for polls, once all of them are answered.
func (b *Balancer) pump() {
	due, wait := b.now, b.pollWait()
	if b.polls && b.queue.len() > 0 && !slices.ContainsFunc(b.members, func(h *host) bool {
		return h.polledAt > 0 && b.now-h.polledAt < wait
	}) {
		due += wait
	}
	for _, r := range b.queue.take(due) {
		if r.held && b.polls {
			r.held = false
			b.poll(r)
		} else {
			b.place(r)
		}
	}
}

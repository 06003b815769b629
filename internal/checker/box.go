package checker

import "math"

// seeBox takes what boxes tell.
func (j *Checker) seeBox(e *Event) {
	s := j.station(e.Server)
	switch e.Kind {
	case ServerStarted:
		s.life++
		s.ends = append(s.ends, math.Inf(1))
		s.zone, s.cell, s.address, s.since, s.work = e.Zone, e.Cell, e.Address, e.ServingSince, s.work[:0]
	case ServerStopped:
		if len(s.ends) > 0 {
			s.ends[len(s.ends)-1] = e.At
		}
	case ServerOverloaded:
		j.fell(s, e)
	case ConnectionOpened:
		j.prices.Connections++
		j.burden(s, e)
	case ConnectionClosed:
		if l := j.links[e.Connection]; l != nil {
			a := &l.try.attempts[l.index]
			a.closedAt, a.exact = e.Sent, e.Sent < e.At
			delete(j.links, e.Connection)
		}
	case HealthCheckReceived:
		j.prices.HealthChecks++
		j.burden(s, e)
	case AttemptReceived:
		j.burden(s, e)
		j.execution(s, e)
	case ResponseSent:
		if l := j.links[e.Connection]; l != nil && l.try.id == e.Request {
			a := &l.try.attempts[l.index]
			a.repliedAt, a.status, a.digest, a.notStarted, a.spoilt = e.At, e.Status, e.Digest, e.NotStarted, e.Malformed
		}
	}
}

// execution checks a request that has come whole to a box.
func (j *Checker) execution(s *station, e *Event) {
	r, p := j.tries[e.Request], j.party(e.Sidecar)
	j.prices.Attempts++
	if int(e.Sidecar) < len(j.rules.SidecarZones) && e.Sidecar >= 0 && j.rules.SidecarZones[e.Sidecar] != s.zone {
		j.prices.CrossZoneAttempts++
	}
	if r == nil || p == nil {
		j.addViolation(NoInvention, e.Sidecar, e.Server, e.Request, nil, "an execution of a request that no client has sent")
		return
	}
	if e.Sent <= p.killedAt || e.FirstSent < p.startedAt {
		return // the last words of a process that has been killed
	}
	j.checkDrain(s, p, e)
	another := r.claimed && r.mayBeOver() // a hostile client has used its id since
	if !another {
		j.checkOpen(r, e)
	}
	a := attempt{box: e.Server, boxLife: s.life, life: p.life, link: e.Connection, firstSent: e.FirstSent, sent: e.Sent}
	r.attempts = append(r.attempts, a)
	j.links[e.Connection] = &linkState{r, len(r.attempts) - 1}
	if another {
		return
	}
	n := 0
	for i := range r.attempts {
		if r.attempts[i].life == p.life {
			n++
		}
	}
	if j.rules.MaxAttempts > 0 && n > j.rules.MaxAttempts {
		j.addViolation(NoRepeat, e.Sidecar, e.Server, e.Request, nil, "execution %d of at most %d", n, j.rules.MaxAttempts)
	}
	for i := range r.attempts[:len(r.attempts)-1] {
		if r.attempts[i].life != p.life {
			continue
		}
		first, second := i, len(r.attempts)-1
		if r.attempts[first].sent > e.Sent {
			first, second = second, first
		}
		j.checkRepeat(r, first, second)
		j.checkCopies(r, first, second)
	}
}

// checkOpen checks that an execution was sent while its request was open.
func (j *Checker) checkOpen(r *record, e *Event) {
	c := j.class(r.class)
	switch r.fate {
	case served, failed:
		if e.FirstSent > r.endedAt {
			j.addViolation(OneAnswer, e.Sidecar, e.Server, e.Request, nil, "sent on %.6f s after its final answer", e.FirstSent-r.endedAt)
		}
	case refused:
		if c != nil && c.Effect != Safe && (c.Effect != Keyed || c.Group != GroupAll) || e.FirstSent > r.endedAt {
			j.addViolation(NoRepeat, e.Sidecar, e.Server, e.Request, nil, "an execution of a request that was refused")
		}
	case unsent:
		if e.FirstSent <= r.endedAt {
			j.addViolation(OneAnswer, e.Sidecar, e.Server, e.Request, nil, "its connection was closed without an answer, though it had been sent on")
			return
		}
		fallthrough
	case left, lost:
		gone := r.endedAt
		if p := j.party(r.sidecar); p.frozenAt > 0 && gone >= p.frozenAt && gone <= p.thawedAt {
			gone = p.thawedAt + catchUpS // its end lies unread behind all that has come meanwhile
		}
		// The contract allows 0.1 s beyond the slack; what has been read by then is dropped at once, so that the slack alone is enough.
		switch late := e.FirstSent - gone; {
		case late <= j.rules.SocketSlackSeconds:
		case r.fate == left:
			j.addViolation(ClientGone, e.Sidecar, e.Server, e.Request, nil, "attempt %d was sent %.6f s after its client had gone", len(r.attempts)+1, late)
		default:
			j.addViolation(OneAnswer, e.Sidecar, e.Server, e.Request, nil, "sent on %.6f s after its connection was closed", late)
		}
	}
}

// checkRepeat checks that the second of two attempts was the sidecar's right after the first.
func (j *Checker) checkRepeat(r *record, first, second int) {
	c := j.class(r.class)
	a, b := &r.attempts[first], &r.attempts[second]
	if c == nil || c.Effect == Safe || a.provenUnrun(b.sent) {
		return
	}
	if c.Effect == Unsafe {
		j.addViolation(NoRepeat, r.sidecar, b.box, r.id, nil, "sent again at %.6f, though the execution sent at %.6f may have run", b.sent, a.sent)
		return
	}
	x, y := j.station(a.box), j.station(b.box)
	if c.Group == GroupZone && x.zone != y.zone || c.Group == GroupCell && x.cell != y.cell {
		j.addViolation(NoRepeat, r.sidecar, b.box, r.id, nil, "sent again to a box outside the group of box %d, where it may have run", a.box)
	}
	if span := b.sent - a.sent; span > c.DedupWindowSeconds+j.rules.SocketSlackSeconds {
		j.addViolation(NoRepeat, r.sidecar, b.box, r.id, nil, "sent again %.3f s after the first that may have run; its window is %.3f s", span, c.DedupWindowSeconds)
	}
}

// checkCopies checks that the first of two attempts was over when the second was sent, or leaves it for later.
func (j *Checker) checkCopies(r *record, first, second int) {
	if j.rules.AllowsHedging || j.over(&r.attempts[first], r.attempts[second].sent) {
		return
	}
	j.copies = append(j.copies, copies{r, first, second, j.now + copyWaitS})
}

// over tells whether an attempt is known to have been over at a time.
func (j *Checker) over(a *attempt, at float64) bool {
	slack := exactS
	if a.closedAt > 0 && !a.exact {
		slack = j.rules.SocketSlackSeconds // when it came stands for when it was done
	}
	return a.endedBy(j.station(a.box).endOf(a.boxLife)) <= at+slack
}

// decideCopies decides the first pair that waits.
func (j *Checker) decideCopies() {
	c := j.copies[0]
	j.copies = j.copies[1:]
	a, b := &c.try.attempts[c.first], &c.try.attempts[c.second]
	if j.over(a, b.sent) || j.troubled(c.try.sidecar, a.box, a.sent, j.now) {
		return
	}
	j.addViolation(NoConcurrentAttempts, c.try.sidecar, b.box, c.try.id, nil, "sent at %.6f while the execution sent at %.6f was still out at box %d", b.sent, a.sent, a.box)
}

// burden notes work that reaches a cold box.
func (j *Checker) burden(s *station, e *Event) {
	if s.since == 0 {
		return
	}
	old := 0
	for old < len(s.work) && s.work[old].at < e.At-j.rules.OverloadWindowSeconds {
		old++
	}
	s.work = append(s.work[:0], s.work[old:]...)
	p := j.party(e.Sidecar)
	s.work = append(s.work, work{e.At, e.Work, p != nil && j.knowsStart(p, s, e.Server, e.At)})
}

// knowsStart tells whether a sidecar has been told of a box's present start, or counts as told.
func (j *Checker) knowsStart(p *party, s *station, box int32, at float64) bool {
	if k := p.knows(box); k.status != 0 && k.since >= s.since-exactS {
		return true
	}
	for i := len(s.listed) - 1; i >= 0; i-- {
		if l := &s.listed[i]; l.Status == Serving && l.ServingSince >= s.since-exactS {
			return j.countsAsTold(p, l, at) <= at
		}
	}
	return false
}

// fell checks who has pushed a cold box over.
func (j *Checker) fell(s *station, e *Event) {
	all, knew := 0.0, 0.0
	for _, w := range s.work {
		if w.at >= e.At-j.rules.OverloadWindowSeconds {
			if all += w.seconds; w.knew {
				knew += w.seconds
			}
		}
	}
	if all > 0 && knew >= j.rules.ColdLoadShare*all {
		j.addViolation(ColdServer, -1, e.Server, 0, nil, "%.3f s of work in %g s brought it down, %.0f %% of it from sidecars that knew of its start",
			all, j.rules.OverloadWindowSeconds, 100*knew/all)
	}
}

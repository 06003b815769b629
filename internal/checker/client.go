package checker

// unansweredS is how long after its time a request is lost that has no answer, on any day: no loop that stands still and no clock that
// runs slow explains more.
const unansweredS = 1.0

// seeClient takes what clients tell.
func (j *Checker) seeClient(e *Event) {
	switch e.Kind {
	case HostileConnected:
		j.prices.HostileClients++
		j.hostile[e.Connection] = &hostile{until: e.Deadline, try: j.tries[e.Request]}
		if r := j.tries[e.Request]; r != nil {
			r.claimed = true
		}
		return
	case HostileAnswered, HostileClosed:
		j.seeHostile(e)
		return
	case UnsolicitedBytes:
		j.addViolation(OneAnswer, e.Sidecar, -1, 0, nil, "bytes on a connection on which nothing was asked")
		return
	case RequestStarted:
		j.asked(e)
		return
	}
	r, p := j.tries[e.Request], j.party(e.Sidecar)
	if r == nil || p == nil {
		return
	}
	switch e.Kind {
	case RequestSent:
		if r.fate != unended {
			return
		}
		r.taken, r.takenAt, r.until = true, e.At, e.Deadline
		p.take(r)
	case ResponseReceived:
		j.answered(r, e)
	case ResponseTruncated:
		j.brokenOff(r, e)
	case ConnectionDropped:
		j.dropped(r, e)
	case RequestHalfClosed:
		r.halved = true
	case RequestAbandoned:
		// Danger: a client may give so little time that nobody could answer in it, or read too slowly.
		enough := e.At-r.askedAt >= j.rules.AnswerSlackSeconds+j.rules.SocketSlackSeconds && !j.troubled(r.sidecar, PathToClients, r.askedAt, e.At)
		over := e.At >= r.until && j.rules.RequiresAnswerInTime || e.At >= r.until+unansweredS
		if r.taken && !r.halved && r.fate == unended && over && enough {
			j.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "no answer when its time was over")
		}
		j.end(r, left, e.At)
	case ConnectFailed:
		j.end(r, notTaken, e.At)
	}
}

// asked takes up a try.
func (j *Checker) asked(e *Event) {
	r := &record{id: e.Request, sidecar: e.Sidecar, class: e.Class, askedAt: e.At, until: e.Deadline, place: -1}
	r.attempts = r.room[:0]
	if first := j.tries[e.FirstRequest]; first != nil {
		r.want = first.want
	} else {
		r.want = &want{askedAt: e.At, class: e.Class, counted: !e.Uncounted}
		if c := j.class(e.Class); c != nil && r.want.counted {
			j.classes[e.Class].Requests++
			j.classes[e.Class].Weight += c.PriorityWeight
		}
	}
	j.tries[e.Request] = r
}

// end notes how a try ended.
func (j *Checker) end(r *record, f fate, at float64) {
	if r.fate != unended {
		return
	}
	r.fate, r.endedAt = f, at
	j.parties[r.sidecar].drop(r)
	c := j.class(r.class)
	if c == nil || !r.want.counted {
		return
	}
	s := &j.classes[r.class]
	switch f {
	case refused:
		s.Rejected++
	case served, excused, notTaken:
	default:
		s.Failed++
	}
	late := at-r.askedAt > (r.until-r.askedAt)/2
	if len(r.attempts) == 0 && r.taken && (f == left || late && (f == refused || f == failed)) {
		j.prices.SlowRejectionWeight += 0.3 * c.PriorityWeight
	}
}

// answered takes a whole answer.
func (j *Checker) answered(r *record, e *Event) {
	if r.fate == served || r.fate == refused || r.fate == failed {
		j.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "a second answer, of status %d", e.Status)
		return
	}
	switch e.Status {
	case 200:
		if !j.rules.ObservesClientsOnly && !r.made(e.Digest) {
			j.addViolation(NoInvention, e.Sidecar, -1, e.Request, nil, "an answer that no box has made for it")
		}
		j.end(r, served, e.At)
		j.serve(r, e.At)
	case 429, 503:
		if !r.claimed {
			j.checkRefusal(r, e)
			j.checkAtOnce(r, e)
		}
		j.end(r, refused, e.At)
	default:
		if !r.claimed {
			j.checkAtOnce(r, e)
		}
		j.end(r, failed, e.At)
	}
}

// made tells whether a box has made this answer for the try.
func (r *record) made(digest uint64) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.repliedAt > 0 && a.status == 200 && !a.spoilt && a.digest == digest {
			return true
		}
	}
	return false
}

// serve counts a request that has been served, once.
func (j *Checker) serve(r *record, at float64) {
	w := r.want
	c := j.class(w.class)
	if w.served || !w.counted || c == nil {
		return
	}
	w.served = true
	s := &j.classes[w.class]
	if at-w.askedAt <= c.LatencyTargetSeconds {
		s.InTarget++
		s.EarnedWeight += c.PriorityWeight
		return
	}
	s.Late++
	s.EarnedWeight += c.PriorityWeight * c.LateFraction
}

// checkRefusal checks that trying again is as harmless as a refusal says.
func (j *Checker) checkRefusal(r *record, e *Event) {
	if c := j.class(r.class); c == nil || c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll {
		return
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.life == j.parties[r.sidecar].life && !a.provenUnrun(e.At) {
			j.addViolation(NoRepeat, r.sidecar, a.box, r.id, nil, "refused, though the execution sent at %.6f may have run", a.sent)
			return
		}
	}
}

// checkAtOnce checks that a try was given its answer when nothing more could be done for it: the sidecar had no right
// to another execution, and none was out.
func (j *Checker) checkAtOnce(r *record, e *Event) {
	c := j.class(r.class)
	if c == nil || len(r.attempts) == 0 || j.troubled(r.sidecar, PathToClients, r.askedAt, e.At) {
		return
	}
	spent := j.rules.MaxAttempts > 0 && len(r.attempts) >= j.rules.MaxAttempts
	last := 0.0
	for i := range r.attempts {
		a := &r.attempts[i]
		end := a.endedBy(j.station(a.box).endOf(a.boxLife))
		if a.life != j.parties[r.sidecar].life { // an earlier process has sent it, and this one knows nothing of it
			return
		}
		if end > e.At || j.troubled(r.sidecar, a.box, a.sent, e.At) {
			return
		}
		last = max(last, end)
		spent = spent || c.Effect == Unsafe && !a.notStarted
	}
	if held := e.At - last; spent && held > j.rules.FailFastSeconds {
		j.addViolation(FailFast, r.sidecar, -1, r.id, nil, "its answer was held back for %.3f s after all was over", held)
	}
}

// brokenOff takes the end of part of an answer. Whole ones that a box has made must reach the client whole.
func (j *Checker) brokenOff(r *record, e *Event) {
	if r.fate == unended && !r.halved {
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.repliedAt > 0 && a.status == 200 && !a.spoilt && a.life == j.parties[r.sidecar].life && j.parties[r.sidecar].termedAt == 0 &&
				!j.troubled(r.sidecar, PathToClients, a.sent, e.At) {
				j.addViolation(OneAnswer, r.sidecar, a.box, r.id, nil, "part of an answer, though a box had given it whole")
				break
			}
		}
	}
	j.end(r, failed, e.At)
}

// dropped takes the end of a connection by the sidecar's side while a try was out on it.
func (j *Checker) dropped(r *record, e *Event) {
	if r.fate != unended || !r.taken {
		return
	}
	if r.halved { // the sidecar takes it for one that has gone
		j.end(r, left, e.At)
		return
	}
	sent := false
	for i := range r.attempts {
		sent = sent || r.attempts[i].life == j.parties[r.sidecar].life
	}
	switch {
	case e.WasRead:
		j.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "it was read, and its connection closed without an answer")
		j.end(r, lost, e.At)
	case !sent && e.Reused && !r.dropped:
		r.dropped, r.taken = true, false // the close has crossed the request: its client sends it once more
		j.parties[r.sidecar].drop(r)
	case !sent && !e.Reused && !r.dropped && !j.rules.IsFaultFree:
		j.end(r, unsent, e.At)
	default:
		j.addViolation(OneAnswer, e.Sidecar, -1, e.Request, nil, "its connection was closed without an answer")
		j.end(r, lost, e.At)
	}
}

// seeHostile takes how a client fared that may not be served.
func (j *Checker) seeHostile(e *Event) {
	h := j.hostile[e.Connection]
	if h == nil || h.settled {
		return
	}
	h.settled = true
	if e.At > h.until+j.rules.SocketSlackSeconds {
		j.prices.HostileUnclosed++
	}
	if e.Kind == HostileAnswered && e.Status >= 200 && e.Status < 300 && (h.try == nil || !h.try.mayBeOver()) {
		j.addViolation(OneAnswer, e.Sidecar, -1, 0, nil, "a client that may not be served was answered with %d", e.Status)
	}
}

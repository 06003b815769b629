package sidecar

import (
	"math"
	"slices"

	"hazelwheel/policy"
)

// request is one that a client connection has brought whole and that has not been answered, or has attempts out.
type request struct {
	id       uint32
	name     string // its client's id of it
	class    string
	classNo  int // its place in the settings
	deadline float64
	call     Call
	origin   Responder
	client   *ClientConn // which has brought it
	body     *Body       // that was not whole when it was taken; nil: it was
	flow     *flow       // of its answer, which has begun to be passed on
	patience float64
	front    Frontend
	s        *Sidecar
	sent     int // attempts begun
	out      []*attempt
	room     [1]*attempt // for out: more than one at a time is rare
	ranFrom  float64     // when the first attempt began that may have run and is over; 0: none may have
	once     bool        // it is not sent again once it may have run
	detached bool        // its client waits for no answer and may go
	answered bool        // it has its final answer, or nobody waits for one
	safety   timer
	delay    *timer // of the drill that holds it back
	quota    quotaTicket
}

// take hands a request to the decisions.
func (s *Sidecar) take(r *request, q policy.Request) {
	for s.requests[s.lastID] != nil || s.lastID == 0 {
		s.lastID++ // the counter has come round: an id may only be used again when it is free
	}
	r.s, r.id, r.out = s, s.lastID, r.room[:0]
	s.lastID++
	s.requests[r.id], s.named[r.name] = r, r
	s.counters.Requests++
	s.counters.Open++
	q.ID = r.id
	// Whatever the decisions do, the client gets its one answer in time.
	s.timers.start(&r.safety, r.deadline+s.responseSlackSeconds/2, r)
	held := func(seconds float64) {
		q.HeldBackSeconds += seconds
		s.arrive(r, q)
	}
	if !s.drilled(r, q.Class, held) {
		s.arrive(r, q)
	}
}

// IsRequestOpen tells whether a request with a client's id is open. Danger: two attempts with one id look like a second copy to a
// server, which may drop the wrong one.
func (s *Sidecar) IsRequestOpen(id string) bool { return s.named[id] != nil }

// answer gives a request its final answer by calling give, unless it has had one, and counts its end.
func (s *Sidecar) answer(r *request, how ending, give func()) {
	if r.answered {
		return
	}
	r.answered = true
	s.over(r, how)
	s.timers.stop(&r.safety)
	s.timers.stop(r.delay)
	if len(r.out) == 0 {
		s.unname(r)
	}
	give()
	s.settleQuota(r)
	if len(r.out) == 0 {
		s.pushEvent(func(float64) { s.forget(r) })
	}
}

// over counts a request's end.
func (s *Sidecar) over(r *request, how ending) {
	s.counters.Open--
	s.counters.end(r.classNo, how)
	if s.times != nil && how == served {
		s.times.note(r, s.now())
	}
}

// expire ends a request that the decisions have let run out of time.
func (r *request) expire() {
	r.s.answer(r, overdue, func() { r.origin.Fail(true) })
	r.s.tellAbandoned(r)
}

// noteRun notes the end of an attempt that may have run.
func (r *request) noteRun(e *attempt, outcome policy.Outcome) {
	if !outcome.NeverRan() && (r.ranFrom == 0 || e.requestedAt < r.ranFrom) {
		r.ranFrom = e.requestedAt
	}
}

// repeatsUntil returns until when a further attempt is dropped as a repeat by servers that have seen one before; +Inf where none may
// have, or where the class does not go by that.
func (r *request) repeatsUntil(e *attempt) float64 {
	class := &r.s.cfg.Settings.Policy.Classes[r.classNo]
	if class.Effect != policy.Keyed {
		return math.Inf(1)
	}
	from := r.ranFrom
	for _, other := range r.out {
		if other != e && (from == 0 || other.requestedAt < from) {
			from = other.requestedAt
		}
	}
	if from == 0 {
		return math.Inf(1)
	}
	return from + class.DedupWindowSeconds
}

// attempt returns the one of a number that is out, nil if it is not.
func (r *request) attempt(number int) *attempt {
	for _, e := range r.out {
		if e.number == number {
			return e
		}
	}
	return nil
}

// drop takes an attempt from those that are out.
func (r *request) drop(e *attempt) {
	if i := slices.Index(r.out, e); i >= 0 {
		r.out = slices.Delete(r.out, i, i+1)
	}
}

// forget drops a request that is answered and has nothing out.
func (s *Sidecar) forget(r *request) {
	if r.answered && r.flow == nil && len(r.out) == 0 && s.requests[r.id] == r {
		delete(s.requests, r.id)
		s.unname(r)
	}
}

// unname frees a request's name. Danger: by then another may have it.
func (s *Sidecar) unname(r *request) {
	if s.named[r.name] == r {
		delete(s.named, r.name)
	}
}

// abandoned takes the departure of a request's client.
func (s *Sidecar) abandoned(r *request) {
	if r.answered {
		return
	}
	s.answer(r, abandoned, func() {})
	s.tellAbandoned(r)
}

// tellAbandoned tells the decisions that nothing is owed to a request any more.
func (s *Sidecar) tellAbandoned(r *request) {
	s.pushEvent(func(now float64) {
		s.capture.RecordAbandoned(now, r.id, r.label())
		s.balancer.Abandoned(now, r.id)
	})
}

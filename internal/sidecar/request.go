package sidecar

import (
	"math"
	"slices"

	"hazelwheel/policy"
)

// request is one that a client connection has brought whole and that has not been answered, or has attempts out.
type request struct {
	id             uint32
	clientID       string // its client's id of it
	className      string
	classIndex     int // its place in the settings
	deadline       float64
	call           Call
	responder      Responder
	client         *ClientConn // which has brought it
	body           *Body       // that was not whole when it was taken; nil: it was
	stream         *stream     // of its answer, which has begun to be passed on
	timeoutSeconds float64
	frontend       Frontend
	sidecar        *Sidecar
	attemptsSent   int // attempts begun
	attempts       []*attempt
	attemptBuffer  [1]*attempt // for out: more than one at a time is rare
	firstRunAt     float64     // when the first attempt began that may have run and is over; 0: none may have
	isAtMostOnce   bool        // it is not sent again once it may have run
	isOneWay       bool        // its client waits for no answer and may go
	isAnswered     bool        // it has its final answer, or nobody waits for one
	deadlineTimer  timer
	faultTimer     *timer // of the drill that holds it back
	quota          quotaCharge
}

// take hands a request to the decisions.
func (s *Sidecar) registerRequest(r *request, q policy.Request) {
	r.sidecar, r.attempts = s, r.attemptBuffer[:0]
	s.requests.add(r)
	s.counters.Requests++
	s.counters.OpenRequests++
	q.ID = r.id
	// Whatever the decisions do, the client gets its one answer in time.
	s.timers.start(&r.deadlineTimer, r.deadline+s.responseSlackSeconds/2, r)
	enqueue := func(seconds float64) {
		q.HeldBackSeconds += seconds
		s.enqueueRequest(r, q)
	}
	if !s.applyFault(r, q.Class, enqueue) {
		s.enqueueRequest(r, q)
	}
}

// IsRequestOpen tells whether a request with a client's id is open. Danger: two attempts with one id look like a second copy to a
// server, which may drop the wrong one.
func (s *Sidecar) IsRequestOpen(id string) bool { return s.requests.isOpen(id) }

// answer gives a request its final answer by calling give, unless it has had one, and counts its end.
func (s *Sidecar) answerRequest(r *request, end requestEnd, respond func()) {
	if r.isAnswered {
		return
	}
	r.isAnswered = true
	s.countRequestEnd(r, end)
	s.timers.stop(&r.deadlineTimer)
	s.timers.stop(r.faultTimer)
	if len(r.attempts) == 0 {
		s.requests.releaseClientID(r)
	}
	respond()
	s.completeQuota(r)
	if len(r.attempts) == 0 {
		s.pushEvent(func(float64) { s.forgetRequest(r) })
	}
}

// over counts a request's end.
func (s *Sidecar) countRequestEnd(r *request, end requestEnd) {
	s.counters.OpenRequests--
	s.counters.countRequestEnd(r.classIndex, end)
	if s.requestStats != nil && end == served {
		s.requestStats.record(r, s.now())
	}
}

// expire ends a request that the decisions have let run out of time.
func (r *request) expire() {
	r.sidecar.answerRequest(r, overdue, func() { r.responder.Fail(true) })
	r.sidecar.pushAbandoned(r)
}

// noteRun notes the end of an attempt that may have run.
func (r *request) recordRun(a *attempt, outcome policy.Outcome) {
	if !outcome.NeverRan() && (r.firstRunAt == 0 || a.requestedAt < r.firstRunAt) {
		r.firstRunAt = a.requestedAt
	}
}

// repeatsUntil returns until when a further attempt is dropped as a repeat by servers that have seen one before; +Inf where none may
// have, or where the class does not go by that.
func (r *request) repeatWindowEnd(a *attempt) float64 {
	class := &r.sidecar.cfg.Settings.Policy.Classes[r.classIndex]
	if class.Effect != policy.Keyed {
		return math.Inf(1)
	}
	firstRunAt := r.firstRunAt
	for _, other := range r.attempts {
		if other != a && (firstRunAt == 0 || other.requestedAt < firstRunAt) {
			firstRunAt = other.requestedAt
		}
	}
	if firstRunAt == 0 {
		return math.Inf(1)
	}
	return firstRunAt + class.DedupWindowSeconds
}

// attempt returns the one of a number that is out, nil if it is not.
func (r *request) attemptByNumber(number int) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// drop takes an attempt from those that are out.
func (r *request) removeAttempt(a *attempt) {
	if i := slices.Index(r.attempts, a); i >= 0 {
		r.attempts = slices.Delete(r.attempts, i, i+1)
	}
}

// forget drops a request that is answered and has nothing out.
func (s *Sidecar) forgetRequest(r *request) {
	if r.isAnswered && r.stream == nil && len(r.attempts) == 0 {
		s.requests.remove(r)
	}
}

// abandoned takes the departure of a request's client.
func (s *Sidecar) abandonRequest(r *request) {
	if r.isAnswered {
		return
	}
	s.answerRequest(r, abandoned, func() {})
	s.pushAbandoned(r)
}

// tellAbandoned tells the decisions that nothing is owed to a request any more.
func (s *Sidecar) pushAbandoned(r *request) {
	s.pushEvent(func(now float64) {
		s.capture.RecordAbandoned(now, r.id, r.label())
		s.balancer.Abandoned(now, r.id)
	})
}

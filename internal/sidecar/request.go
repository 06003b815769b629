package sidecar

import (
	"math"
	"slices"

	"hazelwheel/policy"
)

// request is a request that a client has sent and that has no response yet, or attempts under way.
type request struct {
	id             uint32
	clientID       string // the client's ID of it
	className      string
	classIndex     int // index in the settings
	deadline       float64
	call           Call
	responder      Responder
	client         *ClientConn // its connection
	body           *Body       // not nil: it was incomplete when the request was submitted
	stream         *stream     // of its response, once that is forwarded in parts
	timeoutSeconds float64
	frontend       Frontend
	sidecar        *Sidecar
	attemptsSent   int // number of attempts started
	attempts       []*attempt
	attemptBuffer  [1]*attempt // backing array of attempts: two at a time are rare
	firstRunAt     float64     // start of the first attempt that may have run and has ended; 0: there is none
	isAtMostOnce   bool        // it is not sent again once it may have run
	isOneWay       bool        // its client waits for no response and may close
	isAnswered     bool        // its final response is written, or nobody waits for one
	deadlineTimer  timer
	faultTimer     *timer // of the injected fault that delays it
	quota          quotaCharge
}

// registerRequest adds a request to the table and submits it to the policy, which an injected fault may delay.
func (s *Sidecar) registerRequest(r *request, q policy.Request) {
	r.sidecar, r.attempts = s, r.attemptBuffer[:0]
	s.requests.add(r)
	s.counters.Requests++
	s.counters.OpenRequests++
	q.ID = r.id
	// Whatever the policy does, the client gets its one response in time.
	s.timers.start(&r.deadlineTimer, r.deadline+s.responseSlackSeconds/2, r)
	enqueue := func(seconds float64) {
		q.HeldBackSeconds += seconds
		s.enqueueRequest(r, q)
	}
	if !s.applyFault(r, q.Class, enqueue) {
		s.enqueueRequest(r, q)
	}
}

// IsRequestOpen reports whether a request with a client's ID is open. Danger: two requests with one ID look like a hedged request to a
// server, which may drop the wrong one.
func (s *Sidecar) IsRequestOpen(id string) bool { return s.requests.isOpen(id) }

// answerRequest ends a request with its final response, which respond writes, unless it has had one.
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

// countRequestEnd counts the end of a request, and its latency if it was served.
func (s *Sidecar) countRequestEnd(r *request, end requestEnd) {
	s.counters.OpenRequests--
	s.counters.countRequestEnd(r.classIndex, end)
	if s.requestStats != nil && end == served {
		s.requestStats.record(r, s.now())
	}
}

// expire ends a request that the policy has let run out of time.
func (r *request) expire() {
	r.sidecar.answerRequest(r, overdue, func() { r.responder.Fail(true) })
	r.sidecar.pushAbandoned(r)
}

// recordRun notes the end of an attempt that may have run.
func (r *request) recordRun(a *attempt, outcome policy.Outcome) {
	if !outcome.NeverRan() && (r.firstRunAt == 0 || a.requestedAt < r.firstRunAt) {
		r.firstRunAt = a.requestedAt
	}
}

// repeatWindowEnd returns until when servers that have seen an earlier attempt drop a further one as a repeat; +Inf if none may have seen
// one, or if the class has no such window.
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

// attemptByNumber returns an attempt that is under way, nil if there is none with this number.
func (r *request) attemptByNumber(number int) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// removeAttempt removes an attempt from those that are under way.
func (r *request) removeAttempt(a *attempt) {
	if i := slices.Index(r.attempts, a); i >= 0 {
		r.attempts = slices.Delete(r.attempts, i, i+1)
	}
}

// forgetRequest removes a request that is answered and has no attempts under way.
func (s *Sidecar) forgetRequest(r *request) {
	if r.isAnswered && r.stream == nil && len(r.attempts) == 0 {
		s.requests.remove(r)
	}
}

// abandonRequest ends a request whose client has closed.
func (s *Sidecar) abandonRequest(r *request) {
	if r.isAnswered {
		return
	}
	s.answerRequest(r, abandoned, func() {})
	s.pushAbandoned(r)
}

// pushAbandoned reports to the policy that a request needs no response any more.
func (s *Sidecar) pushAbandoned(r *request) {
	s.pushEvent(func(now float64) {
		s.capture.RecordAbandoned(now, r.id, r.label())
		s.balancer.Abandoned(now, r.id)
	})
}

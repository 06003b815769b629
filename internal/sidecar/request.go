package sidecar

import (
	"math"
	"slices"

	"hazelwheel/policy"
)

// request is a client's request that has no response yet, or that has attempts in flight.
type request struct {
	id             uint32
	clientID       string // ID given by the client
	className      string
	classIndex     int // index in the settings
	deadline       float64
	call           Call
	responder      Responder
	client         *ClientConn // the connection it arrived on
	body           *Body       // nil if the body was complete when the request was submitted
	stream         *stream     // its response, if that is being forwarded in parts
	timeoutSeconds float64
	frontend       Frontend
	sidecar        *Sidecar
	attemptsSent   int // number of attempts that the policy has requested
	attempts       []*attempt
	attemptBuffer  [1]*attempt // backing array of attempts: more than one at a time is rare
	firstRunAt     float64     // start of the earliest ended attempt that may have run; 0 if none
	isAtMostOnce   bool        // must not be sent again once it may have run
	isOneWay       bool        // the client expects no response and may disconnect
	isAnswered     bool        // its final response is written, or the client has disconnected
	deadlineTimer  timer
	faultTimer     *timer // end of the delay by an injected fault
	quota          quotaCharge
}

// registerRequest adds a request to the table and submits it to the policy, which an injected fault may delay.
func (s *Sidecar) registerRequest(r *request, q policy.Request) {
	r.sidecar, r.attempts = s, r.attemptBuffer[:0]
	s.requests.add(r)
	s.counters.Requests++
	s.counters.OpenRequests++
	q.ID = r.id
	// This timer answers the client in time even if the policy does not.
	s.timers.start(&r.deadlineTimer, r.deadline+s.responseSlackSeconds/2, r)
	enqueue := func(heldSeconds float64) {
		q.HeldBackSeconds += heldSeconds
		s.enqueueRequest(r, q)
	}
	if !s.applyFault(r, q.Class, enqueue) {
		s.enqueueRequest(r, q)
	}
}

// IsRequestOpen reports whether a request with this client ID is open. To a server, two requests with one ID look like a hedged request,
// and it may drop the wrong one.
func (s *Sidecar) IsRequestOpen(id string) bool { return s.requests.isOpen(id) }

// answerRequest ends a request with its final response, which respond writes. It does nothing if the request is already answered.
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

// expire implements timerTarget: it fails a request that the policy has not ended by its deadline.
func (r *request) expire() {
	r.sidecar.answerRequest(r, overdue, func() { r.responder.Fail(true) })
	r.sidecar.pushAbandoned(r)
}

// recordRun updates firstRunAt after an attempt that may have run.
func (r *request) recordRun(a *attempt, outcome policy.Outcome) {
	if !outcome.NeverRan() && (r.firstRunAt == 0 || a.requestedAt < r.firstRunAt) {
		r.firstRunAt = a.requestedAt
	}
}

// repeatWindowEnd returns the time until which servers that have received an earlier attempt drop another one as a duplicate. It returns
// +Inf if no server can have received one, or if the class has no deduplication window.
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

// attemptByNumber returns the attempt in flight with this number, nil if there is none.
func (r *request) attemptByNumber(number int) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// removeAttempt removes an attempt from those in flight.
func (r *request) removeAttempt(a *attempt) {
	if i := slices.Index(r.attempts, a); i >= 0 {
		r.attempts = slices.Delete(r.attempts, i, i+1)
	}
}

// forgetRequest removes a request if it is answered and has no attempts in flight.
func (s *Sidecar) forgetRequest(r *request) {
	if r.isAnswered && r.stream == nil && len(r.attempts) == 0 {
		s.requests.remove(r)
	}
}

// abandonRequest ends a request whose client has disconnected.
func (s *Sidecar) abandonRequest(r *request) {
	if r.isAnswered {
		return
	}
	s.answerRequest(r, abandoned, func() {})
	s.pushAbandoned(r)
}

// pushAbandoned reports to the policy that a request no longer needs a response.
func (s *Sidecar) pushAbandoned(r *request) {
	s.pushEvent(func(now float64) {
		s.capture.RecordAbandoned(now, r.id, r.label())
		s.balancer.Abandoned(now, r.id)
	})
}

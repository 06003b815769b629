package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/policy"
)

const (
	// takenAtOnce requests are handed to the decisions before the loop looks at its connections again; then all answers
	// that have come are known to them. It is about a millisecond's work.
	maxBurst = 32
	// takenWithinS is from when on requests no longer count as one burst.
	burstWindowSeconds = 0.001
	// staleS in the socket, and a request is taken up only once the loop has looked at its connections. Danger: the end of its
	// client may lie right behind it, unread, and a process that stood still would send on what nobody waits for.
	staleSeconds = 0.05
)

// arrivals are the requests that the decisions have not been given yet, and how many they have been given in this burst.
type pendingRequests struct {
	queue          *admission.Queue[pendingRequest]
	burst          int
	burstStartedAt float64
	isScheduled    bool // for the loop to have looked at its connections
}

// arrival is a request with what the decisions are told of it.
type pendingRequest struct {
	*request
	policy.Request
	enqueuedAt float64 // when it came
}

// arrive hands a request to the decisions, or has it wait its turn.
func (s *Sidecar) enqueueRequest(r *request, q policy.Request) {
	a, now := &s.pending, s.now()
	if a.queue.Len() == 0 && !a.isScheduled && q.HeldBackSeconds < staleSeconds {
		if now-a.burstStartedAt > burstWindowSeconds {
			a.burst, a.burstStartedAt = 0, now
		}
		if a.burst < maxBurst {
			a.burst++
			s.pushRequest(r, q)
			return
		}
	}
	from := now - q.HeldBackSeconds
	if q.HeldBackSeconds >= staleSeconds { // its wait is not shed load: it waits for this one look
		from = now
	}
	a.queue.Enqueue(admission.QueuedRequest[pendingRequest]{Request: pendingRequest{r, q, now}, Class: q.Class, ArrivedAt: from})
	s.schedulePending()
}

// takeUpLater has the next requests taken up once the loop has looked at its connections.
func (s *Sidecar) schedulePending() {
	if a := &s.pending; !a.isScheduled {
		a.isScheduled = true
		s.net.Yield(func() { s.runCallback(s.submitPending) })
	}
}

// takeUp hands the next requests to the decisions. What has waited too long is answered at once, and so is what has no
// time left.
func (s *Sidecar) submitPending() {
	a, now := &s.pending, s.now()
	a.isScheduled, a.burstStartedAt, a.burst = false, now, 0
	for a.burst < maxBurst {
		waiting, shed, ok := a.queue.Dequeue(now)
		if !ok {
			return
		}
		r, q := waiting.Request.request, waiting.Request.Request
		switch {
		case r.isAnswered: // its client has gone since
			continue
		case shed:
			s.counters.Shed++
			s.answerRequest(r, throttled, func() { r.responder.Throttle(s.cfg.Settings.Policy.MaxRetryAfterSeconds) })
		default:
			q.HeldBackSeconds += now - waiting.Request.enqueuedAt
			s.pushRequest(r, q)
		}
		a.burst++
	}
	if a.queue.Len() > 0 {
		s.schedulePending()
	}
}

// decide hands a request to the decisions.
func (s *Sidecar) pushRequest(r *request, q policy.Request) {
	s.turn.events = append(s.turn.events, event{request: r, input: q})
}

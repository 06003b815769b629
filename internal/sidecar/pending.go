package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/policy"
)

const (
	// maxBurst is how many requests are submitted to the policy before the loop reads its connections again, so that the policy knows all
	// responses that have arrived. It is about a millisecond's work.
	maxBurst = 32
	// burstWindowSeconds after the first request of a burst the next one begins.
	burstWindowSeconds = 0.001
	// staleSeconds in its socket, and a request is submitted only after the loop has read its connections. Danger: the close of its client
	// may be unread right behind it, and a process that stalled would forward requests that nobody waits for.
	staleSeconds = 0.05
)

// pendingRequests are the requests that the policy has not been given yet, and how many of the present burst it has been given.
type pendingRequests struct {
	queue          *admission.Queue[pendingRequest]
	burst          int
	burstStartedAt float64
	isScheduled    bool // submitPending runs after the loop has read its connections
}

// pendingRequest is a request with the policy's input.
type pendingRequest struct {
	*request
	policy.Request
	enqueuedAt float64 // when it came
}

// enqueueRequest submits a request to the policy, or queues it behind those that wait.
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
	if q.HeldBackSeconds >= staleSeconds { // it waits for this one turn of the loop, which must not count for load shedding
		from = now
	}
	a.queue.Enqueue(admission.QueuedRequest[pendingRequest]{Request: pendingRequest{r, q, now}, Class: q.Class, ArrivedAt: from})
	s.schedulePending()
}

// schedulePending submits the next requests after the loop has read its connections.
func (s *Sidecar) schedulePending() {
	if a := &s.pending; !a.isScheduled {
		a.isScheduled = true
		s.net.Yield(func() { s.runCallback(s.submitPending) })
	}
}

// submitPending submits the next requests to the policy. Those that have waited for too long, or have no time left, are rejected.
func (s *Sidecar) submitPending() {
	a, now := &s.pending, s.now()
	a.isScheduled, a.burstStartedAt, a.burst = false, now, 0
	for a.burst < maxBurst {
		waiting, isShed, ok := a.queue.Dequeue(now)
		if !ok {
			return
		}
		r, q := waiting.Request.request, waiting.Request.Request
		switch {
		case r.isAnswered: // its client has closed since
			continue
		case isShed:
			s.counters.LoadShed++
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

// pushRequest queues a request as an event for the policy.
func (s *Sidecar) pushRequest(r *request, q policy.Request) {
	s.turn.events = append(s.turn.events, event{request: r, input: q})
}

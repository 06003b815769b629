package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/policy"
)

const (
	// maxBurst is how many requests are submitted to the policy before the loop reads its connections again, so that the policy knows all
	// responses that have arrived. Handling them takes about a millisecond.
	maxBurst = 32
	// burstWindowSeconds is the length of a burst: a request that arrives later starts a new one.
	burstWindowSeconds = 0.001
	// staleSeconds is how long a request must have been in its socket for the loop to read its connections once more before submitting it. The
	// client's close may be unread behind the request: otherwise a process that stalled would forward requests that nobody waits for.
	staleSeconds = 0.05
)

// pendingRequests holds the requests that are not submitted to the policy yet; burst counts those submitted in the current burst.
type pendingRequests struct {
	queue          *admission.Queue[pendingRequest]
	burst          int
	burstStartedAt float64
	isScheduled    bool // submitPending will run once the loop has read its connections
}

// pendingRequest is a request with the policy's input.
type pendingRequest struct {
	*request
	policy.Request
	enqueuedAt float64 // when enqueueRequest was called
}

// enqueueRequest submits a request to the policy, or queues it behind the pending ones.
func (s *Sidecar) enqueueRequest(r *request, q policy.Request) {
	p, now := &s.pending, s.now()
	if p.queue.Len() == 0 && !p.isScheduled && q.HeldBackSeconds < staleSeconds {
		if now-p.burstStartedAt > burstWindowSeconds {
			p.burst, p.burstStartedAt = 0, now
		}
		if p.burst < maxBurst {
			p.burst++
			s.pushRequest(r, q)
			return
		}
	}
	from := now - q.HeldBackSeconds
	if q.HeldBackSeconds >= staleSeconds { // its delay is the loop's own, which must not count for load shedding
		from = now
	}
	p.queue.Enqueue(admission.QueuedRequest[pendingRequest]{Request: pendingRequest{r, q, now}, Class: q.Class, ArrivedAt: from})
	s.schedulePending()
}

// schedulePending makes submitPending run once the loop has read its connections.
func (s *Sidecar) schedulePending() {
	if p := &s.pending; !p.isScheduled {
		p.isScheduled = true
		s.net.Yield(func() { s.runCallback(s.submitPending) })
	}
}

// submitPending submits the next requests to the policy. Requests that the queue sheds, since they have waited too long, are throttled.
func (s *Sidecar) submitPending() {
	p, now := &s.pending, s.now()
	p.isScheduled, p.burstStartedAt, p.burst = false, now, 0
	for p.burst < maxBurst {
		waiting, isShed, ok := p.queue.Dequeue(now)
		if !ok {
			return
		}
		r, q := waiting.Request.request, waiting.Request.Request
		switch {
		case r.isAnswered: // its client has disconnected since
			continue
		case isShed:
			s.counters.LoadShed++
			s.answerRequest(r, throttled, func() { r.responder.Throttle(s.cfg.Settings.Policy.MaxRetryAfterSeconds) })
		default:
			q.HeldBackSeconds += now - waiting.Request.enqueuedAt
			s.pushRequest(r, q)
		}
		p.burst++
	}
	if p.queue.Len() > 0 {
		s.schedulePending()
	}
}

// pushRequest queues a request as an event for the policy.
func (s *Sidecar) pushRequest(r *request, q policy.Request) {
	s.turn.events = append(s.turn.events, event{request: r, input: q})
}

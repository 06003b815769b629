package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/policy"
)

const (
	// takenAtOnce requests are handed to the decisions before the loop looks at its connections again; then all answers
	// that have come are known to them. It is about a millisecond's work.
	takenAtOnce = 32
	// takenWithinS is from when on requests no longer count as one burst.
	takenWithinS = 0.001
	// staleS in the socket, and a request is taken up only once the loop has looked at its connections. Danger: the end of its
	// client may lie right behind it, unread, and a process that stood still would send on what nobody waits for.
	staleS = 0.05
)

// arrivals are the requests that the decisions have not been given yet, and how many they have been given in this burst.
type arrivals struct {
	queue   *admission.Queue[arrival]
	taken   int
	since   float64
	waiting bool // for the loop to have looked at its connections
}

// arrival is a request with what the decisions are told of it.
type arrival struct {
	*request
	policy.Request
	at float64 // when it came
}

// arrive hands a request to the decisions, or has it wait its turn.
func (s *Sidecar) arrive(r *request, q policy.Request) {
	a, now := &s.arrivals, s.now()
	if a.queue.Len() == 0 && !a.waiting && q.HeldBackSeconds < staleS {
		if now-a.since > takenWithinS {
			a.taken, a.since = 0, now
		}
		if a.taken < takenAtOnce {
			a.taken++
			s.decide(r, q)
			return
		}
	}
	from := now - q.HeldBackSeconds
	if q.HeldBackSeconds >= staleS { // its wait is not shed load: it waits for this one look
		from = now
	}
	a.queue.Enqueue(admission.QueuedRequest[arrival]{Request: arrival{r, q, now}, Class: q.Class, ArrivedAt: from})
	s.takeUpLater()
}

// takeUpLater has the next requests taken up once the loop has looked at its connections.
func (s *Sidecar) takeUpLater() {
	if a := &s.arrivals; !a.waiting {
		a.waiting = true
		s.net.Yield(func() { s.runCallback(s.takeUp) })
	}
}

// takeUp hands the next requests to the decisions. What has waited too long is answered at once, and so is what has no
// time left.
func (s *Sidecar) takeUp() {
	a, now := &s.arrivals, s.now()
	a.waiting, a.since, a.taken = false, now, 0
	for a.taken < takenAtOnce {
		w, shed, ok := a.queue.Dequeue(now)
		if !ok {
			return
		}
		r, q := w.Request.request, w.Request.Request
		switch {
		case r.answered: // its client has gone since
			continue
		case shed:
			s.counters.Shed++
			s.answer(r, throttled, func() { r.origin.Throttle(s.cfg.Settings.Policy.MaxRetryAfterSeconds) })
		default:
			q.HeldBackSeconds += now - w.Request.at
			s.decide(r, q)
		}
		a.taken++
	}
	if a.queue.Len() > 0 {
		s.takeUpLater()
	}
}

// decide hands a request to the decisions.
func (s *Sidecar) decide(r *request, q policy.Request) {
	s.events = append(s.events, event{request: r, input: q})
}

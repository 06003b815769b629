package sidecar

import (
	"hazelwheel/internal/capture"
	"hazelwheel/policy"
)

// The policy calls the methods of policy.Actions while it handles an event. They never call the policy back: anything that they cause
// immediately is queued as an event.
var _ policy.Actions = (*Sidecar)(nil)

// Send starts the next attempt of a request at a server.
func (s *Sidecar) Send(id, serverID uint32) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionSend, Host: serverID})
	r := s.requests.byID[id]
	if r == nil {
		s.log.Error("send for an unknown request", "request", id)
		return
	}
	a := &attempt{
		request:     r,
		number:      r.attemptsSent,
		serverID:    serverID,
		requestedAt: s.turn.eventAt,
		sentAt:      s.turn.eventAt,
		deadline:    r.deadline - s.responseMargin(),
		exchange:    r.call.NewExchange(),
		frontend:    r.frontend,
	}
	r.attemptsSent++
	r.attempts = append(r.attempts, a)
	s.counters.Attempts++
	if r.isAnswered || len(r.attempts) > 1 && (r.isAtMostOnce || !s.cfg.Settings.Policy.HedgingAllowed) {
		s.finishAttempt(a, &attemptError{notConnected, superseded, nil})
		return
	}
	s.startAttempt(a)
}

// Cancel abandons an attempt of a request.
func (s *Sidecar) Cancel(id uint32, attempt int) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionCancel, Attempt: attempt})
	if r := s.requests.byID[id]; r != nil {
		if a := r.attemptByNumber(attempt); a != nil {
			s.abandonAttempt(a, cancelled)
		}
	}
}

// Probe starts a probe of a server.
func (s *Sidecar) Probe(serverID uint32) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionProbe, Host: serverID})
	s.counters.Probes++
	s.startAttempt(&attempt{
		serverID: serverID,
		sentAt:   s.turn.eventAt,
		deadline: s.turn.eventAt + probeTimeoutSeconds,
		exchange: s.prober.NewProbe(),
		frontend: s.prober,
	})
}

// CloseIdle closes the idle connections to a server.
func (s *Sidecar) CloseIdle(serverID uint32) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionCloseIdle, Host: serverID})
	s.closeIdleConns(serverID)
}

// Refuse ends a request with a response that says that it has not run and may be retried.
func (s *Sidecar) Refuse(id uint32, retryAfterSeconds float64) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionRefuse, AfterSeconds: retryAfterSeconds})
	if r := s.requests.byID[id]; r != nil && !r.isAnswered {
		s.answerRequest(r, throttled, func() { r.responder.Throttle(retryAfterSeconds) })
	}
}

// Fail ends a request with a response that says that it may have run.
func (s *Sidecar) Fail(id uint32) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionFail})
	if r := s.requests.byID[id]; r != nil && !r.isAnswered {
		s.answerRequest(r, failed, func() { r.responder.Fail(s.now() >= r.deadline-2*s.responseMargin()) })
	}
}

// WakeAfter sets the time of the policy's next wake-up and cancels the previous one. If replaced wake-ups were kept, each request would
// leave a timer behind until the next probe, which can be 16 s away in a large fleet.
func (s *Sidecar) WakeAfter(seconds float64) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionWake, AfterSeconds: seconds})
	s.timers.stop(&s.wakeTimer)
	s.timers.start(&s.wakeTimer, s.turn.eventAt+seconds, (*wakeTarget)(s))
}

// wakeTarget is a Sidecar as the timerTarget of the policy's wake-up.
type wakeTarget Sidecar

func (w *wakeTarget) expire() {
	s := (*Sidecar)(w)
	s.pushEvent(func(now float64) {
		s.capture.RecordWake(now)
		s.balancer.Wake(now)
	})
}

// Watch starts a watch of the endpoint list, unless there is one.
func (s *Sidecar) Watch() {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionWatch})
	s.ensureWatch()
}

// Log logs a change of the policy's state.
func (s *Sidecar) Log(text string) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionLog, Text: text})
	s.log.Info(text)
}

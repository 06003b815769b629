package sidecar

import (
	"hazelwheel/internal/capture"
	"hazelwheel/policy"
)

// Sidecar carries out what the decisions ask for. The calls come while an event is being handled and never
// call back: what follows from them at once waits in the queue.
var _ policy.Actions = (*Sidecar)(nil)

// Send starts the next attempt of a request.
func (s *Sidecar) Send(id, host uint32) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionSend, Host: host})
	r := s.requests.byID[id]
	if r == nil {
		s.log.Error("send for an unknown request", "request", id)
		return
	}
	a := &attempt{request: r, number: r.attemptsSent, serverID: host, requestedAt: s.turn.eventAt, sentAt: s.turn.eventAt,
		deadline: r.deadline - s.responseMargin(), exchange: r.call.NewExchange(), frontend: r.frontend}
	r.attemptsSent++
	r.attempts = append(r.attempts, a)
	s.counters.Attempts++
	if r.isAnswered || len(r.attempts) > 1 && (r.isAtMostOnce || !s.cfg.Settings.Policy.HedgingAllowed) {
		s.finishAttempt(a, &attemptError{notConnected, superseded, nil})
		return
	}
	s.startAttempt(a)
}

// Cancel ends the wait for one attempt.
func (s *Sidecar) Cancel(id uint32, attempt int) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionCancel, Attempt: attempt})
	if r := s.requests.byID[id]; r != nil {
		if a := r.attemptByNumber(attempt); a != nil {
			s.abandonAttempt(a, cancelled)
		}
	}
}

// NewProbe asks a server for a sign of life.
func (s *Sidecar) Probe(host uint32) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionProbe, Host: host})
	s.counters.Probes++
	s.startAttempt(&attempt{serverID: host, sentAt: s.turn.eventAt, deadline: s.turn.eventAt + probeTimeoutSeconds, exchange: s.prober.NewProbe(), frontend: s.prober})
}

// CloseIdle closes the idle links to a server.
func (s *Sidecar) CloseIdle(host uint32) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionCloseIdle, Host: host})
	s.closeIdleConns(host)
}

// Refuse is a final answer: trying again is harmless.
func (s *Sidecar) Refuse(id uint32, retryAfterS float64) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionRefuse, AfterSeconds: retryAfterS})
	if r := s.requests.byID[id]; r != nil && !r.isAnswered {
		s.answerRequest(r, throttled, func() { r.responder.Throttle(retryAfterS) })
	}
}

// Fail is a final answer that promises nothing.
func (s *Sidecar) Fail(id uint32) {
	s.recordDecision(id, capture.Decision{Action: capture.ActionFail})
	if r := s.requests.byID[id]; r != nil && !r.isAnswered {
		s.answerRequest(r, failed, func() { r.responder.Fail(s.now() >= r.deadline-2*s.responseMargin()) })
	}
}

// WakeAfter asks for a call of Wake, in place of the one that was asked for before: the decisions wait for one at a time.
// Danger: the replaced ones kept, each request leaves one behind for as long as the next probe is away, 16 s in a large fleet.
func (s *Sidecar) WakeAfter(seconds float64) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionWake, AfterSeconds: seconds})
	s.timers.stop(&s.wakeTimer)
	s.timers.start(&s.wakeTimer, s.turn.eventAt+seconds, (*wakeTarget)(s))
}

// wakeUp is a sidecar as what its decisions' timer calls.
type wakeTarget Sidecar

func (w *wakeTarget) expire() {
	s := (*Sidecar)(w)
	s.pushEvent(func(now float64) {
		s.capture.RecordWake(now)
		s.balancer.Wake(now)
	})
}

// Watch subscribes to changes of the list.
func (s *Sidecar) Watch() {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionWatch})
	s.ensureWatch()
}

// Log records a change of state for the operators.
func (s *Sidecar) Log(text string) {
	s.capture.RecordDecision(capture.Decision{Action: capture.ActionLog, Text: text})
	s.log.Info(text)
}

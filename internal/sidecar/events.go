package sidecar

import "hazelwheel/policy"

// event is something that the decisions are told, in the order in which it happened. The two that come with each request
// are kept as they are: a closure for each would be garbage.
type event struct {
	run          func(now float64) // of all others
	request      *request          // that has come, with what the decisions are told of it
	input        policy.Request
	endedAttempt *attempt // of a request
	result       policy.Result
}

// push queues an event for the decisions. It is handled before the present callback ends.
func (s *Sidecar) pushEvent(do func(now float64)) { s.events = append(s.events, event{run: do}) }

// settle hands the queued events to the decisions, with what follows from them.
func (s *Sidecar) handleEvents() {
	for i := 0; i < len(s.events); i++ {
		e := s.events[i]
		s.events[i] = event{}
		s.eventAt = s.callbackAt
		s.recoverPanic(func() { s.handleEvent(&e) })
	}
	s.events = s.events[:0]
}

func (s *Sidecar) handleEvent(e *event) {
	switch now := s.eventAt; {
	case e.run != nil:
		e.run(now)
	case e.endedAttempt != nil:
		r := e.endedAttempt.request
		e.result.DelaySeconds, e.result.LateSeconds = e.endedAttempt.durations(now)
		e.result.Final = e.result.Final || r.isAnswered
		s.capture.RecordOutcome(now, e.result, r.label())
		s.balancer.AttemptDone(now, e.result)
		s.forgetRequest(r)
	case !e.request.isAnswered: // its client may have gone since
		s.capture.RecordRequest(now, e.input, e.request.label())
		s.balancer.StartRequest(now, e.input)
	}
}

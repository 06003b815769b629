package sidecar

import "hazelwheel/policy"

// event is something that the decisions are told, in the order in which it happened. The two that come with each request
// are kept as they are: a closure for each would be garbage.
type event struct {
	do      func(now float64) // of all others
	request *request          // that has come, with what the decisions are told of it
	told    policy.Request
	ended   *attempt // of a request
	result  policy.Result
}

// push queues an event for the decisions. It is handled before the present callback ends.
func (s *Sidecar) push(do func(now float64)) { s.queue = append(s.queue, event{do: do}) }

// settle hands the queued events to the decisions, with what follows from them.
func (s *Sidecar) settle() {
	for i := 0; i < len(s.queue); i++ {
		e := s.queue[i]
		s.queue[i] = event{}
		s.eventAt = s.at
		s.guard(func() { s.handle(&e) })
	}
	s.queue = s.queue[:0]
}

func (s *Sidecar) handle(e *event) {
	switch now := s.eventAt; {
	case e.do != nil:
		e.do(now)
	case e.ended != nil:
		r := e.ended.request
		e.result.DelaySeconds, e.result.LateSeconds = e.ended.took(now)
		e.result.Final = e.result.Final || r.answered
		s.capture.RecordOutcome(now, e.result, r.label())
		s.balancer.AttemptDone(now, e.result)
		s.forget(r)
	case !e.request.answered: // its client may have gone since
		s.capture.RecordRequest(now, e.told, e.request.label())
		s.balancer.StartRequest(now, e.told)
	}
}

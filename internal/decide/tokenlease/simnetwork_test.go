package tokenlease_test

import (
	"hazelwheel/internal/decide/tokenlease"
)

// delay draws the delay of a message, -1 if it is lost.
func (s *simulation) delay() float64 {
	switch {
	case s.rng.Float64() < s.plan.loss:
		return -1
	case s.rng.Float64() < s.plan.late:
		return s.uniform(0.01, 8)
	default:
		return s.uniform(0.0002, s.plan.slow)
	}
}

// deliver calls do when a message arrives, which may happen twice or never. A frozen receiver handles it when it resumes. A message from or to a
// partitioned process is lost.
func (s *simulation) deliver(from, to *process, do func()) {
	copies := 1
	if s.rng.Float64() < s.plan.double {
		copies = 2
	}
	for range copies {
		took := s.delay()
		if took < 0 {
			continue
		}
		s.after(took, func() {
			if from.isCut(s.now) || to.isCut(s.now) || to.isDown {
				return
			}
			if to.isFrozen(s.now) {
				s.at(to.frozenUntil, do)
				return
			}
			do()
		})
	}
}

// send sends a call to the share's lessor according to the register, and sometimes to a random process.
func (s *simulation) send(h *lesseeHost, call tokenlease.Call) {
	isOver := false
	end := func(handle func()) {
		if !isOver && !h.isReplaced && !h.isDown {
			isOver = true
			handle()
			s.step(h)
		}
	}
	s.after(callTimeout, func() {
		if h.isFrozen(s.now) {
			s.at(h.frozenUntil, func() { end(func() { h.lessee.HandleNoReply(h.clock.read(s.now), call) }) })
			return
		}
		end(func() { h.lessee.HandleNoReply(h.clock.read(s.now), call) })
	})
	index := s.roles[call.Request.Share].holder
	if index < 0 || s.rng.Float64() < 0.02 {
		index = s.rng.IntN(len(s.lessors))
	}
	target := s.lessors[index]
	run := target.run
	s.deliver(&h.process, &target.process, func() {
		if target.run != run {
			return
		}
		reply, isLessor := target.handle(s, call.Request)
		s.deliver(&target.process, &h.process, func() {
			if !isLessor {
				end(func() { h.lessee.HandleNoReply(h.clock.read(s.now), call) })
				return
			}
			// Half of the hosts drop a reply that comes after the timeout. The others have not noticed the timeout and pass the reply on.
			if s.rng.Float64() < 0.5 {
				end(func() { h.lessee.HandleReply(h.clock.read(s.now), call, reply) })
			} else if !h.isReplaced && !h.isDown {
				isOver = true
				h.lessee.HandleReply(h.clock.read(s.now), call, reply)
				s.step(h)
			}
		})
	})
}

package sidecar

import (
	"runtime/debug"

	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

// loopTurn is where the event loop stands: in which callback, at what time, with which events still to be handled.
type loopTurn struct {
	depth           int     // of callbacks within each other
	at              float64 // the time of the outermost callback, or of the timer that is fired
	eventAt         float64 // the time of the event that is handled
	events          []event // for the decisions, in order
	timersScheduled bool    // fireTimers is about to be called
}

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
func (s *Sidecar) pushEvent(do func(now float64)) {
	s.turn.events = append(s.turn.events, event{run: do})
}

// settle hands the queued events to the decisions, with what follows from them.
func (s *Sidecar) handleEvents() {
	for i := 0; i < len(s.turn.events); i++ {
		e := s.turn.events[i]
		s.turn.events[i] = event{}
		s.turn.eventAt = s.turn.at
		s.recoverPanic(func() { s.handleEvent(&e) })
	}
	s.turn.events = s.turn.events[:0]
}

func (s *Sidecar) handleEvent(e *event) {
	switch now := s.turn.eventAt; {
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

// OpenRequests takes a connection: one that was dialed brings its link, any other is a client's.
func (s *Sidecar) Open(c netio.Conn) bool {
	s.descriptors.open++
	accepted := true
	s.runConnCallback(c, func() {
		if handler, dialed := c.Context().(connHandler); dialed {
			handler.onOpen(c)
		} else {
			accepted = s.acceptClient(c)
		}
	})
	return accepted
}

// Traffic hands what has been received to the connection's link.
func (s *Sidecar) Traffic(c netio.Conn, data []byte) {
	if handler, ok := c.Context().(connHandler); ok {
		s.runConnCallback(c, func() { handler.onData(data) })
	}
}

// Closed tells the connection's link.
func (s *Sidecar) Closed(c netio.Conn, err error) {
	s.descriptors.open--
	if handler, ok := c.Context().(connHandler); ok {
		s.runCallback(func() {
			if handler.onClose(err); len(s.backends.waiting) > 0 {
				s.pushEvent(func(float64) { s.dialForWaiters() })
			}
		})
	}
}

// Alarm comes when timers are due.
func (s *Sidecar) Alarm() {
	s.runCallback(func() { s.timers.alarmAt = 0 })
}

// link is what a connection belongs to.
type connHandler interface {
	onOpen(c netio.Conn)
	onData(data []byte)
	onClose(err error)
}

// within runs a callback of a connection; a panic in it costs the connection and nothing more.
func (s *Sidecar) runConnCallback(c netio.Conn, f func()) {
	s.runCallback(func() {
		if s.recoverPanic(f) {
			s.closeConn(c)
		}
	})
}

// Do calls f on the loop, with what follows from it; it may be called from anywhere.
func (s *Sidecar) Do(f func()) { s.net.Post(func() { s.runCallback(f) }) }

// enter wraps every callback on the loop: a panic stops here, and the outermost drains the queue and has the timers
// fired that are due. Until it ends the time is that of its beginning.
func (s *Sidecar) runCallback(f func()) {
	if s.turn.depth++; s.turn.depth > 1 {
		s.recoverPanic(f)
		s.turn.depth--
		return
	}
	s.turn.at = s.net.Now()
	s.detectStall(s.turn.at)
	s.recoverPanic(f)
	s.handleEvents()
	s.turn.depth--
	s.loopDelay.lastCallbackAt = s.turn.at
	if s.timers.isDue(s.turn.at) && !s.turn.timersScheduled {
		s.turn.timersScheduled = true
		s.net.Yield(s.fireTimers)
	}
	s.timers.arm()
}

// now returns the time: of the present callback, or of the timer that fires.
func (s *Sidecar) now() float64 {
	if s.turn.depth == 0 {
		return s.net.Now()
	}
	return s.turn.at
}

// fire fires the timers that are due, in their order. Danger: the answer that an attempt waits for may be there
// already, unread while the loop was busy or stood still; given up for late it accuses a host that was in time. So the
// loop looks at its connections first.
func (s *Sidecar) fireTimers() {
	s.runCallback(func() {
		s.turn.timersScheduled = false
		for s.timers.isDue(s.turn.at) {
			t := s.timers.pop()
			s.counters.MaxTimerDelayMS = max(s.counters.MaxTimerDelayMS, (s.turn.at-t.dueAt)*1000)
			s.recoverPanic(t.target.expire)
			s.handleEvents()
			s.turn.at = s.net.Now()
		}
	})
}

// guard calls f; a panic is logged and counted, and true is returned.
func (s *Sidecar) recoverPanic(f func()) (failed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			failed = true
			s.counters.Panics++
			s.log.Error("panic", "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	f()
	return false
}

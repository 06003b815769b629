package sidecar

import (
	"runtime/debug"

	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

// loopTurn is the state of the running callback: its time, and the events to be handled before it returns.
type loopTurn struct {
	depth           int     // nesting depth of callbacks
	at              float64 // time of the outermost callback, or of the timer that fires
	eventAt         float64 // time of the event being handled
	events          []event // for the policy, in order
	timersScheduled bool    // fireTimers was handed to the event loop and has not run
}

// event is one input of the policy. The two kinds that occur for each request are stored as values, since a closure for each would be
// allocated on the heap.
type event struct {
	run          func(now float64) // any other kind of event
	request      *request          // a submitted request, with the policy's input
	input        policy.Request
	endedAttempt *attempt // an attempt that has ended, with its result
	result       policy.Result
}

// pushEvent queues an event for the policy. It is handled before the current callback returns.
func (s *Sidecar) pushEvent(run func(now float64)) {
	s.turn.events = append(s.turn.events, event{run: run})
}

// handleEvents hands the queued events to the policy, including those that handling them adds.
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
	case !e.request.isAnswered: // its client may have disconnected since
		s.capture.RecordRequest(now, e.input, e.request.label())
		s.balancer.StartRequest(now, e.input)
	}
}

// Open implements netio.Handler: it passes a dialed connection to its handler, and accepts any other as a client connection. It reports
// whether the connection is kept.
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

// Traffic implements netio.Handler: it passes received bytes to the connection's handler.
func (s *Sidecar) Traffic(c netio.Conn, data []byte) {
	if handler, ok := c.Context().(connHandler); ok {
		s.runConnCallback(c, func() { handler.onData(data) })
	}
}

// Closed implements netio.Handler: it reports the end of a connection to its handler.
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

// Alarm implements netio.Handler. The timers that are due fire after the callback.
func (s *Sidecar) Alarm() {
	s.runCallback(func() { s.timers.alarmAt = 0 })
}

// connHandler handles the events of one connection.
type connHandler interface {
	onOpen(c netio.Conn)
	onData(data []byte)
	onClose(err error)
}

// runConnCallback runs a callback of a connection. A panic in it is recovered and closes the connection.
func (s *Sidecar) runConnCallback(c netio.Conn, f func()) {
	s.runCallback(func() {
		if s.recoverPanic(f) {
			s.closeConn(c)
		}
	})
}

// Do schedules f on the event loop, which also handles the events that f queues. It may be called from any goroutine and returns at once.
func (s *Sidecar) Do(f func()) { s.net.Post(func() { s.runCallback(f) }) }

// runCallback wraps every callback of the event loop and recovers panics. The outermost callback then handles the queued events and
// schedules the timers that are due. Until it returns, now() does not change.
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

// now returns the time of the current callback or timer.
func (s *Sidecar) now() float64 {
	if s.turn.depth == 0 {
		return s.net.Now()
	}
	return s.turn.at
}

// fireTimers fires the timers that are due, in order of time. While the loop was busy or stalled, a response may have arrived in its socket
// unread. If its attempt were timed out first, that would count against a server that responded in time. So the loop reads all connections
// before it calls this.
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

// recoverPanic runs f and reports whether it panicked. The panic is logged and counted.
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

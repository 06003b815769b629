// Package multiplex shares one event loop between two handlers: a core, which gets the connections of the loop's own listeners, and a
// companion, which gets the connections that it dials and those of listeners that it opens itself. The handlers are independent of each
// other.
package multiplex

import (
	"math"

	"hazelwheel/internal/netio"
)

// SharedLoop is an event loop with two handlers. Its methods may be called only on that loop, or before it runs.
type SharedLoop struct {
	loop            netio.EventLoop
	handlers        [memberCount]netio.Handler
	isCompanionConn func(netio.Conn) bool
	alarmAt         [memberCount]float64 // +Inf: no alarm is set
	armedAt         float64              // the alarm that is set in loop; +Inf: none
}

// The members of a SharedLoop, in the order of their calls.
const (
	coreMember = iota
	companionMember
	memberCount
)

// view is the event loop of one member, with an alarm of its own. All other methods are those of the shared loop.
type view struct {
	netio.EventLoop
	shared *SharedLoop
	member int
}

// New returns a SharedLoop on an event loop.
func New(loop netio.EventLoop) *SharedLoop {
	return &SharedLoop{loop: loop, alarmAt: [memberCount]float64{math.Inf(1), math.Inf(1)}, armedAt: math.Inf(1)}
}

// Core returns the event loop for the core.
func (l *SharedLoop) Core() netio.EventLoop { return view{l.loop, l, coreMember} }

// Companion returns the event loop for the companion.
func (l *SharedLoop) Companion() netio.EventLoop { return view{l.loop, l, companionMember} }

// Handler returns the handler for the event loop. It passes each call to the core or the companion. isCompanionConn reports whether a
// connection belongs to the companion; its result for a connection must not change. Handler must be called before the loop runs.
func (l *SharedLoop) Handler(core, companion netio.Handler, isCompanionConn func(netio.Conn) bool) netio.Handler {
	l.handlers, l.isCompanionConn = [memberCount]netio.Handler{core, companion}, isCompanionConn
	return (*dispatcher)(l)
}

// SetAlarm sets the member's alarm.
func (v view) SetAlarm(at float64) {
	v.shared.alarmAt[v.member] = at
	v.shared.setEarliestAlarm()
}

// setEarliestAlarm sets the event loop's only alarm to the earlier of the members' alarms.
func (l *SharedLoop) setEarliestAlarm() {
	if earliest := min(l.alarmAt[coreMember], l.alarmAt[companionMember]); earliest != l.armedAt && !math.IsInf(earliest, 1) {
		l.armedAt = earliest
		l.loop.SetAlarm(earliest)
	}
}

// dispatcher is a SharedLoop as a netio.Handler.
type dispatcher SharedLoop

// handlerOf returns the handler that a connection belongs to.
func (d *dispatcher) handlerOf(c netio.Conn) netio.Handler {
	if d.isCompanionConn(c) {
		return d.handlers[companionMember]
	}
	return d.handlers[coreMember]
}

// Start implements netio.Handler: the core starts first.
func (d *dispatcher) Start() {
	d.handlers[coreMember].Start()
	d.handlers[companionMember].Start()
}

// Open implements netio.Handler.
func (d *dispatcher) Open(c netio.Conn) bool { return d.handlerOf(c).Open(c) }

// Traffic implements netio.Handler.
func (d *dispatcher) Traffic(c netio.Conn, data []byte) { d.handlerOf(c).Traffic(c, data) }

// Closed implements netio.Handler.
func (d *dispatcher) Closed(c netio.Conn, err error) { d.handlerOf(c).Closed(c, err) }

// Alarm implements netio.Handler: it calls the members whose alarms are due, and sets the next alarm.
func (d *dispatcher) Alarm() {
	now := d.loop.Now()
	d.armedAt = math.Inf(1)
	for i, at := range d.alarmAt {
		if at <= now {
			d.alarmAt[i] = math.Inf(1)
			d.handlers[i].Alarm()
		}
	}
	(*SharedLoop)(d).setEarliestAlarm()
}

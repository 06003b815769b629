// Package multiplex has two programs live on one loop: a core, which has the loop's own listeners, and a companion, which has
// the connections that it dials and those at listeners of its own. Each believes that it is alone.
package multiplex

import (
	"math"

	"hazelwheel/internal/netio"
)

// SharedLoop is a loop that two hosts share.
type SharedLoop struct {
	loop         netio.EventLoop
	handlers     [2]netio.Handler
	isCompanions func(netio.Conn) bool
	alarmAt      [2]float64 // the alarms that were asked for; +Inf: none is
	armedAt      float64
}

const (
	coreMember = iota
	companionMember
)

// side is the loop as one of the two sees it.
type view struct {
	netio.EventLoop
	shared *SharedLoop
	member int
}

// New shares a loop.
func New(loop netio.EventLoop) *SharedLoop {
	return &SharedLoop{loop: loop, alarmAt: [2]float64{math.Inf(1), math.Inf(1)}, armedAt: math.Inf(1)}
}

// Core returns the loop as the core sees it.
func (l *SharedLoop) Core() netio.EventLoop { return view{l.loop, l, coreMember} }

// Companion returns the loop as the program beside the core sees it.
func (l *SharedLoop) Companion() netio.EventLoop { return view{l.loop, l, companionMember} }

// Handler returns both as one; owns tells which connections are the companion's.
func (l *SharedLoop) Handler(core, companion netio.Handler, isCompanions func(netio.Conn) bool) netio.Handler {
	l.handlers, l.isCompanions = [2]netio.Handler{core, companion}, isCompanions
	return (*dispatcher)(l)
}

// SetAlarm sets the loop's one alarm for the earlier of the two.
func (s view) SetAlarm(at float64) {
	s.shared.alarmAt[s.member] = at
	s.shared.setEarliestAlarm()
}

func (l *SharedLoop) setEarliestAlarm() {
	if first := min(l.alarmAt[coreMember], l.alarmAt[companionMember]); first != l.armedAt && !math.IsInf(first, 1) {
		l.armedAt = first
		l.loop.SetAlarm(first)
	}
}

// both is a Loop as a netio.Handler.
type dispatcher SharedLoop

func (b *dispatcher) handlerOf(c netio.Conn) netio.Handler {
	if b.isCompanions(c) {
		return b.handlers[companionMember]
	}
	return b.handlers[coreMember]
}

func (b *dispatcher) Start() {
	b.handlers[coreMember].Start()
	b.handlers[companionMember].Start()
}

func (b *dispatcher) Open(c netio.Conn) bool            { return b.handlerOf(c).Open(c) }
func (b *dispatcher) Traffic(c netio.Conn, data []byte) { b.handlerOf(c).Traffic(c, data) }
func (b *dispatcher) Closed(c netio.Conn, err error)    { b.handlerOf(c).Closed(c, err) }

// Alarm calls whose time has come.
func (b *dispatcher) Alarm() {
	now := b.loop.Now()
	b.armedAt = math.Inf(1)
	for i, at := range b.alarmAt {
		if at <= now {
			b.alarmAt[i] = math.Inf(1)
			b.handlers[i].Alarm()
		}
	}
	(*SharedLoop)(b).setEarliestAlarm()
}

// Package multiplex has two programs live on one loop: a core, which has the loop's own listeners, and a companion, which has
// the connections that it dials and those at listeners of its own. Each believes that it is alone.
package multiplex

import (
	"math"

	"hazelwheel/internal/netio"
)

// SharedLoop is a loop that two hosts share.
type SharedLoop struct {
	net   netio.EventLoop
	hosts [2]netio.Handler
	owns  func(netio.Conn) bool
	at    [2]float64 // the alarms that were asked for; +Inf: none is
	armed float64
}

const (
	core = iota
	companion
)

// side is the loop as one of the two sees it.
type side struct {
	netio.EventLoop
	l    *SharedLoop
	side int
}

// New shares a loop.
func New(net netio.EventLoop) *SharedLoop {
	return &SharedLoop{net: net, at: [2]float64{math.Inf(1), math.Inf(1)}, armed: math.Inf(1)}
}

// Core returns the loop as the core sees it.
func (l *SharedLoop) Core() netio.EventLoop { return side{l.net, l, core} }

// Companion returns the loop as the program beside the core sees it.
func (l *SharedLoop) Companion() netio.EventLoop { return side{l.net, l, companion} }

// Handler returns both as one; owns tells which connections are the companion's.
func (l *SharedLoop) Handler(c, beside netio.Handler, owns func(netio.Conn) bool) netio.Handler {
	l.hosts, l.owns = [2]netio.Handler{c, beside}, owns
	return (*both)(l)
}

// SetAlarm sets the loop's one alarm for the earlier of the two.
func (s side) SetAlarm(at float64) {
	s.l.at[s.side] = at
	s.l.arm()
}

func (l *SharedLoop) arm() {
	if first := min(l.at[core], l.at[companion]); first != l.armed && !math.IsInf(first, 1) {
		l.armed = first
		l.net.SetAlarm(first)
	}
}

// both is a Loop as a netio.Handler.
type both SharedLoop

func (b *both) of(c netio.Conn) netio.Handler {
	if b.owns(c) {
		return b.hosts[companion]
	}
	return b.hosts[core]
}

func (b *both) Start() {
	b.hosts[core].Start()
	b.hosts[companion].Start()
}

func (b *both) Open(c netio.Conn) bool            { return b.of(c).Open(c) }
func (b *both) Traffic(c netio.Conn, data []byte) { b.of(c).Traffic(c, data) }
func (b *both) Closed(c netio.Conn, err error)    { b.of(c).Closed(c, err) }

// Alarm calls whose time has come.
func (b *both) Alarm() {
	now := b.net.Now()
	b.armed = math.Inf(1)
	for i, at := range b.at {
		if at <= now {
			b.at[i] = math.Inf(1)
			b.hosts[i].Alarm()
		}
	}
	(*SharedLoop)(b).arm()
}

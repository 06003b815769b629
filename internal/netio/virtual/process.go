package virtual

import (
	"fmt"
	"math"
	"net/netip"

	"hazelwheel/internal/netio"
)

// Process is a program on a machine, and the netio.EventLoop of its handler.
type Process struct {
	network *Network
	machine *Machine
	options ProcessOptions
	number  int
	handler netio.Handler

	listeners     []*listener
	conns         []*Conn // open connections, in no particular order
	dials         []*dial
	ready         []readyItem // for the next turn
	batch         []readyItem // being handled in the current turn
	posts         []func()
	yields        []func()
	alarmAt       float64 // by the network's clock; NaN: no alarm is set
	localAlarmAt  float64 // the same by the process's clock
	alarmEventAt  float64 // earliest time of an alarmEvent in the queue; +Inf: none
	clock         clock
	alarmDue      bool
	turnSeconds   float64 // duration of the calls in this turn so far
	busyUntil     float64
	stalledUntil  float64 // the event loop does not run before this time
	turnScheduled bool
	inTurn        bool
	started       bool
	stopping      bool
	ended         bool

	descriptors, peakDescriptors, descriptorFailures int
}

var _ netio.EventLoop = (*Process)(nil)

// Run starts a program. Its handler is first called in the first turn of the event loop. If listening at an address fails, Run returns an
// error and starts nothing.
func (p *Process) Run(handler netio.Handler) error {
	for _, text := range p.options.Listen {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("listen %s: %w", text, err)
		}
		if a.Addr() != p.machine.ip {
			return fmt.Errorf("listen %s: not the address of machine %s", text, p.machine.ipText)
		}
		if p.machine.listeners[a.Port()] != nil {
			p.closeListeners()
			return fmt.Errorf("listen %s: %w", text, errAddressInUse)
		}
		p.listenAt(a.Port(), false)
	}
	p.handler, p.alarmAt, p.alarmEventAt = handler, math.NaN(), math.Inf(1)
	p.descriptors = p.options.ReservedDescriptors + len(p.listeners)
	p.peakDescriptors = p.descriptors
	p.machine.processes = append(p.machine.processes, p)
	p.network.trace(Event{Kind: StateChanged, Process: p.options.Name, Peer: "started"})
	p.scheduleTurn()
	return nil
}

// Name returns ProcessOptions.Name.
func (p *Process) Name() string { return p.options.Name }

// Machine returns the machine that the process runs on.
func (p *Process) Machine() *Machine { return p.machine }

// IsRunning reports whether the process has been started and has not ended.
func (p *Process) IsRunning() bool { return p.handler != nil && !p.ended }

// Conns returns the open connections. The slice is valid until the next event.
func (p *Process) Conns() []*Conn { return p.conns }

// Dialing returns the number of dials in progress.
func (p *Process) Dialing() int { return len(p.dials) }

// Kill ends the process at once, as SIGKILL does: its connections are reset, and dials to its addresses are refused.
func (p *Process) Kill() {
	if p.ended || p.handler == nil {
		return
	}
	p.terminate(true)
	p.leaveMachine()
	p.network.trace(Event{Kind: StateChanged, Process: p.options.Name, Peer: "killed"})
}

// leaveMachine removes the process from its machine's list.
func (p *Process) leaveMachine() {
	for i, other := range p.machine.processes {
		if other == p {
			p.machine.processes = append(p.machine.processes[:i], p.machine.processes[i+1:]...)
			return
		}
	}
}

// terminate ends the process without calling its handler. Its connections are discarded; with sendResets their peers are sent resets.
func (p *Process) terminate(sendResets bool) {
	if p.ended {
		return
	}
	p.ended = true
	for _, c := range p.conns {
		if c.hasDescriptor, c.closedAt = false, p.network.now; sendResets {
			c.sendReset()
		}
		c.state = discarded
	}
	for _, d := range p.dials {
		d.finished = true
		if d.conn != nil {
			d.conn.state = discarded
		}
	}
	p.closeListenersIf(sendResets, anyListener)
	p.conns, p.dials, p.ready, p.posts = nil, nil, nil, nil
}

// SetConnReadRate sets how fast the process reads from one connection, in bytes per second. 0 means the process's rate, and below 0
// nothing is read.
func (p *Process) SetConnReadRate(conn netio.Conn, rate float64) {
	if c := conn.(*Conn); c.process == p {
		if c.readRate = rate; rate >= 0 {
			c.markReady()
		}
	}
}

// SetReadRate sets how fast the process reads from each connection without a rate of its own, in bytes per second. 0 means unlimited, and
// below 0 nothing is read.
func (p *Process) SetReadRate(rate float64) {
	p.options.ReadRate = rate
	for _, c := range p.conns {
		if c.unreadBytes() > 0 || c.finReceived {
			c.markReady()
		}
	}
}

// ReceiveDelaySeconds implements netio.EventLoop.
func (p *Process) ReceiveDelaySeconds(conn netio.Conn) float64 {
	return p.networkTime() - conn.(*Conn).receivedAt
}

// PauseReading implements netio.EventLoop.
func (p *Process) PauseReading(conn netio.Conn, closing netio.ClosePolicy) bool {
	c := conn.(*Conn)
	c.paused, c.reportsClose = true, closing == netio.ReportClose
	if c.hasDescriptor && c.reportsClose && c.finReceived {
		c.markReady()
	}
	return true
}

// ResumeReading implements netio.EventLoop.
func (p *Process) ResumeReading(conn netio.Conn) {
	if c := conn.(*Conn); c.paused {
		if c.paused = false; c.hasDescriptor && (c.unreadBytes() > 0 || c.finReceived || c.resetReceived) {
			c.markReady()
		}
	}
}

// Stop implements netio.EventLoop.
func (p *Process) Stop() {
	p.stopping = true
	p.scheduleTurn()
}

// exit ends the process gracefully: each open connection is closed and the handler is notified.
func (p *Process) exit() {
	p.closeListeners()
	for len(p.conns) > 0 {
		p.conns[0].close(nil)
	}
	for len(p.dials) > 0 {
		p.dials[0].abort()
	}
	p.ended = true
	p.leaveMachine()
	p.network.trace(Event{At: p.networkTime(), Kind: StateChanged, Process: p.options.Name, Peer: "ended"})
	if p.options.OnExit != nil {
		p.network.enqueueEvent(p.networkTime(), scheduledEvent{kind: callEvent, call: p.options.OnExit})
	}
}

// Close implements netio.EventLoop.
func (p *Process) Close(conn netio.Conn) {
	if c := conn.(*Conn); c.process == p && c.hasDescriptor {
		c.close(nil)
	}
}

// CloseWrite implements netio.EventLoop.
func (p *Process) CloseWrite(conn netio.Conn) {
	if c := conn.(*Conn); c.process == p && c.hasDescriptor {
		c.closeWrite()
	}
}

// AllAcknowledged implements netio.EventLoop.
func (p *Process) AllAcknowledged(conn netio.Conn) bool {
	c := conn.(*Conn)
	return !c.hasDescriptor || len(c.outbound) == c.outboundStart
}

// NothingToRead implements netio.EventLoop.
func (p *Process) NothingToRead(conn netio.Conn) bool {
	c := conn.(*Conn)
	return c.hasDescriptor && c.unreadBytes() == 0 && !c.finReceived && !c.resetReceived
}

package virtual

import (
	"fmt"
	"math"
	"net/netip"

	"hazelwheel/internal/netio"
)

// Process is a program on a machine: the netio.EventLoop of its host, with one event loop.
type Process struct {
	network *Network
	machine *Machine
	options ProcessOptions
	number  int
	handler netio.Handler

	listeners     []*listener
	conns         []*Conn // that hold a descriptor, in no order that matters
	dials         []*dial
	ready         []readyItem
	batch         []readyItem
	posts         []func()
	yields        []func()
	alarmAt       float64 // by the world's time; NaN: none is asked for
	localAlarmAt  float64 // the same, by the process's clock
	alarmEventAt  float64 // the first time at which an alarm event waits; +Inf: none does
	clock         clock
	alarmDue      bool
	turnSeconds   float64 // by the calls of this turn
	busyUntil     float64
	stalledUntil  float64 // the loop does not turn before
	turnScheduled bool
	inTurn        bool
	started       bool
	stopping      bool
	ended         bool

	descriptors, peakDescriptors, descriptorFailures int
}

var _ netio.EventLoop = (*Process)(nil)

// Run starts a program. Its first call comes with the first turn of the loop; who dials until then waits. An address
// that can't be listened at is an error, and nothing is started.
func (p *Process) Run(host netio.Handler) error {
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
	p.handler, p.alarmAt, p.alarmEventAt = host, math.NaN(), math.Inf(1)
	p.descriptors = p.options.ReservedDescriptors + len(p.listeners)
	p.peakDescriptors = p.descriptors
	p.machine.processes = append(p.machine.processes, p)
	p.network.trace(Event{Kind: StateChanged, Process: p.options.Name, Peer: "started"})
	p.scheduleTurn()
	return nil
}

// Name returns what the options call the process.
func (p *Process) Name() string { return p.options.Name }

// Machine returns where the process runs.
func (p *Process) Machine() *Machine { return p.machine }

// Alive tells whether the process has been started and has not ended.
func (p *Process) IsRunning() bool { return p.handler != nil && !p.ended }

// Conns returns the connections that the process holds; valid until the next event.
func (p *Process) Conns() []*Conn { return p.conns }

// Dialing returns how many dials are under way.
func (p *Process) Dialing() int { return len(p.dials) }

// Kill ends the process at once, as SIGKILL does: its connections are reset, and who dials it is refused.
func (p *Process) Kill() {
	if p.ended || p.handler == nil {
		return
	}
	p.terminate(true)
	p.leaveMachine()
	p.network.trace(Event{Kind: StateChanged, Process: p.options.Name, Peer: "killed"})
}

func (p *Process) leaveMachine() {
	for i, q := range p.machine.processes {
		if q == p {
			p.machine.processes = append(p.machine.processes[:i], p.machine.processes[i+1:]...)
			return
		}
	}
}

// die ends the process without a call. Where it may speak its peers are told.
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

// ReadRate says how fast the process reads from a connection, in bytes a second; 0: as fast as they come; below 0:
// not at all.
func (p *Process) SetConnReadRate(conn netio.Conn, rate float64) {
	if c := conn.(*Conn); c.process == p {
		if c.readRate = rate; rate >= 0 {
			c.markReady()
		}
	}
}

// SlowDown says how fast the process reads from each connection of which ReadRate has said nothing, as ReadRate does.
func (p *Process) SetReadRate(rate float64) {
	p.options.ReadRate = rate
	for _, c := range p.conns {
		if c.unreadBytes() > 0 || c.finReceived {
			c.markReady()
		}
	}
}

// ReceiveDelaySeconds returns how long ago the socket was given bytes last.
func (p *Process) ReceiveDelaySeconds(conn netio.Conn) float64 {
	return p.networkTime() - conn.(*Conn).receivedAt
}

// PauseReading leaves what comes in the socket.
func (p *Process) PauseReading(conn netio.Conn, ends netio.ClosePolicy) bool {
	c := conn.(*Conn)
	c.paused, c.reportsClose = true, ends == netio.ReportClose
	if c.hasDescriptor && c.reportsClose && c.finReceived {
		c.markReady()
	}
	return true
}

// ResumeReading reads on.
func (p *Process) ResumeReading(conn netio.Conn) {
	if c := conn.(*Conn); c.paused {
		if c.paused = false; c.hasDescriptor && (c.unreadBytes() > 0 || c.finReceived || c.resetReceived) {
			c.markReady()
		}
	}
}

// Stop ends the loop after the present call.
func (p *Process) Stop() {
	p.stopping = true
	p.scheduleTurn()
}

// exit ends the process in order: each connection that is still open is closed, and the host told.
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
		p.network.schedule(p.networkTime(), scheduledEvent{kind: callEvent, call: p.options.OnExit})
	}
}

// Close ends a connection at once.
func (p *Process) Close(conn netio.Conn) {
	if c := conn.(*Conn); c.process == p && c.hasDescriptor {
		c.close(nil)
	}
}

// CloseWrite tells the peer that nothing more will come.
func (p *Process) CloseWrite(conn netio.Conn) {
	if c := conn.(*Conn); c.process == p && c.hasDescriptor {
		c.closeWrite()
	}
}

// AllAcknowledged tells whether the peer's machine has confirmed all that was written to a connection.
func (p *Process) AllAcknowledged(conn netio.Conn) bool {
	c := conn.(*Conn)
	return !c.hasDescriptor || len(c.outbound) == c.outboundStart
}

// NothingToRead tells whether nothing waits in a connection's socket.
func (p *Process) NothingToRead(conn netio.Conn) bool {
	c := conn.(*Conn)
	return c.hasDescriptor && c.unreadBytes() == 0 && !c.finReceived && !c.resetReceived
}

package virtual

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"hazelwheel/internal/netio"
)

// ProcessOptions is what a process is started with.
type ProcessOptions struct {
	Name                string
	Listen              []string // addresses and ports of its machine
	MaxDescriptors      int      // the most it may hold; 0: as many as it likes
	ReservedDescriptors int      // descriptors that are no connection, listener or dial
	Backlog             int      // of each listener; 0: 128
	SendBuffer          int      // of each connection, in bytes; 0: 64 KiB
	ReceiveBuffer       int      // likewise
	MaxWakeDelaySeconds float64  // the loop turns up to so much after something has come
	CallSeconds         float64  // how long each call of the host takes
	Shuffle             bool     // what has come for one turn is handed over in any order
	ReadRate            float64  // of each connection, in bytes a second; 0: as fast as they come; below 0: nothing is read
	OnExit              func()   // called once the process has ended by itself
}

func (o *ProcessOptions) setDefaults() {
	if o.MaxDescriptors == 0 {
		o.MaxDescriptors = math.MaxInt32
	}
	if o.Backlog == 0 {
		o.Backlog = 128
	}
	if o.SendBuffer == 0 {
		o.SendBuffer = 64 << 10
	}
	if o.ReceiveBuffer == 0 {
		o.ReceiveBuffer = 64 << 10
	}
}

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

// item is something that has come for a process: on a connection, or a connection to accept.
type readyItem struct {
	conn     *Conn
	listener *listener
}

var _ netio.EventLoop = (*Process)(nil)

// errInUse is the error of Run where another process listens at an address.
var errAddressInUse = errors.New("address already in use")

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

func (p *Process) listenAt(port uint16, addedLater bool) *listener {
	l := &listener{owner: p, backlog: p.options.Backlog, port: port, addedLater: addedLater}
	p.machine.listeners[port] = l
	p.listeners = append(p.listeners, l)
	return l
}

// Listen opens a further listener.
func (p *Process) Listen(address string) (stop func(), err error) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return nil, fmt.Errorf("listen %s: %w", address, err)
	case a.Addr() != p.machine.ip:
		return nil, fmt.Errorf("listen %s: not the address of machine %s", address, p.machine.ipText)
	case p.machine.listeners[a.Port()] != nil:
		return nil, fmt.Errorf("listen %s: %w", address, errAddressInUse)
	case !p.acquireDescriptor():
		return nil, fmt.Errorf("listen %s: %w", address, errTooManyFiles)
	}
	l := p.listenAt(a.Port(), true)
	return func() {
		if !l.closed {
			p.descriptors--
			p.closeListenersIf(true, func(o *listener) bool { return o == l })
		}
	}, nil
}

// Name returns what the options call the process.
func (p *Process) Name() string { return p.options.Name }

// Machine returns where the process runs.
func (p *Process) Machine() *Machine { return p.machine }

// Alive tells whether the process has been started and has not ended.
func (p *Process) IsRunning() bool { return p.handler != nil && !p.ended }

// Descriptors returns how many the process holds, and the most that it has held.
func (p *Process) Descriptors() (now, most int) { return p.descriptors, p.peakDescriptors }

// Denied returns how many times the process has found no descriptor.
func (p *Process) DescriptorFailures() int { return p.descriptorFailures }

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

// Stall keeps the loop from turning before a time. What comes waits, and is then handed over as one batch.
func (p *Process) Stall(until float64) {
	p.stalledUntil = max(p.stalledUntil, until)
}

// Thaw ends a Stall at once.
func (p *Process) EndStall() {
	p.stalledUntil = 0
	if !p.ended && p.handler != nil && !p.inTurn { // a turn that waits for the stall's end would come too late
		p.turnScheduled = true
		p.network.schedule(max(p.network.now, p.busyUntil), scheduledEvent{kind: turnEvent, process: p})
	}
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

// Now returns the time by the process's clock. Calls of the host take some, where the options say so.
func (p *Process) Now() float64 { return p.clock.localTime(p.networkTime()) }

// real returns the same by the world's time.
func (p *Process) networkTime() float64 { return p.network.now + p.turnSeconds }

// clock is a process's clock: it was ahead by so much at a time of the world, and gains so much in each second since.
type clock struct{ since, offset, drift float64 }

func (c *clock) localTime(at float64) float64 { return at + (c.offset + (at-c.since)*c.drift) }

// when returns when the clock will read so, or a little more. Danger: at less a host finds nothing due, and asks again.
func (c *clock) networkTime(local float64) float64 {
	if *c == (clock{}) || math.IsInf(local, 0) {
		return local
	}
	return (local-c.offset+c.since*c.drift)/(1+c.drift) + clockRoundingSeconds
}

// roundS is more than what rounding takes of a time of today.
const clockRoundingSeconds = 4e-6

// ClockRate has the process's clock run at a rate from now on; 1 is that of the world. What it is ahead or behind by then stays.
func (p *Process) SetClockRate(rate float64) {
	now := p.network.now
	p.clock = clock{since: now, offset: p.clock.localTime(now) - now, drift: rate - 1}
	if !math.IsNaN(p.alarmAt) {
		p.SetAlarm(p.localAlarmAt)
	}
}

// Post has f called after the present call, and after what else has come for this turn of the loop.
func (p *Process) Post(f func()) {
	if p.ended {
		return
	}
	p.posts = append(p.posts, f)
	p.scheduleTurn()
}

// Yield has f called once a turn has handed over all that had come: this turn where its connections are still being gone
// through, else the next. Danger: run with the posts it would come before bytes that had come while these took their time.
func (p *Process) Yield(f func()) {
	if p.ended {
		return
	}
	p.yields = append(p.yields, f)
	p.scheduleTurn()
}

// runYields calls what was asked for before now.
func (p *Process) runYields() {
	due := p.yields
	p.yields = nil
	for _, f := range due {
		if p.ended || p.stopping {
			return
		}
		f()
		p.addCallTime()
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

// SetAlarm asks for one call at a time, in place of what was asked for before.
func (p *Process) SetAlarm(at float64) {
	p.localAlarmAt = at
	p.scheduleAlarm(p.clock.networkTime(at))
}

func (p *Process) scheduleAlarm(at float64) {
	if p.alarmAt = at; at < p.alarmEventAt && !p.ended {
		p.alarmEventAt = max(at, p.network.now)
		p.network.schedule(at, scheduledEvent{kind: alarmEvent, process: p})
	}
}

// alarm takes an alarm's time.
func (p *Process) handleAlarmEvent() {
	if p.ended || p.network.now < p.alarmEventAt {
		return // one that was asked for earlier has come in between
	}
	p.alarmEventAt = math.Inf(1)
	switch {
	case math.IsNaN(p.alarmAt):
	case p.alarmAt > p.network.now:
		p.scheduleAlarm(p.alarmAt)
	default:
		p.alarmDue = true
		p.scheduleTurn()
	}
}

// wake has the loop turn, as soon as it can.
func (p *Process) scheduleTurn() {
	if p.turnScheduled || p.inTurn || p.ended || p.handler == nil {
		return
	}
	at := p.network.now
	if p.options.MaxWakeDelaySeconds > 0 {
		at += p.options.MaxWakeDelaySeconds * p.network.rand.Float64()
	}
	p.turnScheduled = true
	p.network.schedule(max(at, p.busyUntil, p.stalledUntil), scheduledEvent{kind: turnEvent, process: p})
}

// called notes that a call of the host is over.
func (p *Process) addCallTime() { p.turnSeconds += p.options.CallSeconds }

// turn is one turn of the loop: connections, then posts, then the alarm.
func (p *Process) runTurn() {
	p.turnScheduled = false
	if p.ended {
		return
	}
	if p.stalledUntil > p.network.now {
		p.scheduleTurn()
		return
	}
	p.inTurn = true
	if !p.started {
		p.started = true
		p.network.hashCall(p.networkTime(), StateChanged, p, 0, nil)
		p.handler.Start()
		p.addCallTime()
		p.runPosts()
	}
	p.batch, p.ready = p.ready, p.batch[:0]
	if p.options.Shuffle && len(p.batch) > 1 {
		p.network.rand.Shuffle(len(p.batch), func(i, j int) { p.batch[i], p.batch[j] = p.batch[j], p.batch[i] })
	}
	for i := 0; i < len(p.batch) && !p.ended && !p.stopping; i++ {
		if t := p.batch[i]; t.listener != nil {
			p.accept(t.listener)
		} else {
			t.conn.handleReady()
		}
	}
	p.runYields()
	p.runPosts()
	if p.alarmDue && !p.ended && !p.stopping {
		p.alarmDue = false
		if p.alarmAt <= p.networkTime() {
			p.alarmAt = math.NaN()
			p.network.hashCall(p.networkTime(), AlarmFired, p, 0, nil)
			p.handler.Alarm()
			p.addCallTime()
			p.runPosts()
		} else if p.alarmAt > p.networkTime() {
			p.scheduleAlarm(p.alarmAt)
		}
	}
	if p.stopping && !p.ended {
		p.exit()
	}
	p.busyUntil, p.turnSeconds, p.inTurn = p.network.now+p.turnSeconds, 0, false
	if len(p.ready) > 0 || len(p.posts) > 0 || len(p.yields) > 0 {
		p.scheduleTurn()
	}
}

// mostPosts bounds the posts of one turn: a post that posts itself must not keep the world from going on.
const maxPostsPerTurn = 4096

func (p *Process) runPosts() {
	done := 0
	for ; done < len(p.posts) && done < maxPostsPerTurn && !p.ended && !p.stopping; done++ {
		f := p.posts[done]
		p.posts[done] = nil
		f()
		p.addCallTime()
	}
	if done == len(p.posts) {
		p.posts = p.posts[:0]
	} else if done > 0 && len(p.posts) > 0 {
		p.posts = append(p.posts[:0], p.posts[done:]...)
	}
}

// accept takes one connection that a listener has.
func (p *Process) accept(l *listener) {
	if len(l.queue) == 0 || l.closed {
		return
	}
	if !p.acquireDescriptor() {
		// As with EMFILE: the connection stays where it is.
		l.descriptorWanted = true
		return
	}
	c := l.queue[0]
	copy(l.queue, l.queue[1:])
	l.queue[len(l.queue)-1] = nil
	l.queue = l.queue[:len(l.queue)-1]
	c.listener = nil
	p.addConn(c)
	c.reportOpen(nil)
}

// take takes a descriptor; false: there is none.
func (p *Process) acquireDescriptor() bool {
	if p.descriptors >= p.options.MaxDescriptors {
		p.descriptorFailures++
		p.network.trace(Event{At: p.networkTime(), Kind: DescriptorsExhausted, Process: p.options.Name})
		return false
	}
	p.descriptors++
	p.peakDescriptors = max(p.peakDescriptors, p.descriptors)
	return true
}

// release gives a descriptor back, for which a connection may wait.
func (p *Process) releaseDescriptor() {
	p.descriptors--
	for _, l := range p.listeners {
		if l.descriptorWanted {
			l.descriptorWanted = false
			for range l.queue {
				p.ready = append(p.ready, readyItem{listener: l})
			}
			p.scheduleTurn()
		}
	}
}

// hold notes a connection's descriptor, which has been taken.
func (p *Process) addConn(c *Conn) {
	c.hasDescriptor, c.index = true, len(p.conns)
	p.conns = append(p.conns, c)
}

// drop gives a connection's descriptor back.
func (p *Process) removeConn(c *Conn) {
	if !c.hasDescriptor {
		return
	}
	c.hasDescriptor = false
	last := len(p.conns) - 1
	p.conns[c.index] = p.conns[last]
	p.conns[c.index].index = c.index
	p.conns[last] = nil
	p.conns = p.conns[:last]
	p.releaseDescriptor()
}

// StopListening closes the listeners that the options name; what they have not accepted is reset.
func (p *Process) StopListening(done func()) {
	for _, l := range p.listeners {
		if !l.addedLater {
			p.descriptors--
		}
	}
	p.closeListenersIf(true, func(l *listener) bool { return !l.addedLater })
	done()
}

func (p *Process) closeListeners() {
	p.descriptors -= len(p.listeners)
	p.closeListenersIf(true, anyListener)
}

func anyListener(*listener) bool { return true }

// closeListenersAs closes those that which picks.
func (p *Process) closeListenersIf(sendResets bool, matches func(*listener) bool) {
	p.listeners = slices.DeleteFunc(p.listeners, func(l *listener) bool {
		if !matches(l) {
			return false
		}
		l.closed = true
		for _, c := range l.queue {
			if sendResets {
				c.sendReset()
			}
			c.state = discarded
		}
		l.queue = nil
		if p.machine.listeners[l.port] == l {
			delete(p.machine.listeners, l.port)
		}
		return true
	})
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

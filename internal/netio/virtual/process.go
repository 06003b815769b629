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

func (o *ProcessOptions) fill() {
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
	w       *Network
	machine *Machine
	opt     ProcessOptions
	number  int
	host    netio.Handler

	listeners []*listener
	conns     []*Conn // that hold a descriptor, in no order that matters
	dials     []*dial
	ready     []item
	batch     []item
	posts     []func()
	yields    []func()
	alarmAt   float64 // by the world's time; NaN: none is asked for
	alarmBy   float64 // the same, by the process's clock
	rungAt    float64 // the first time at which an alarm event waits; +Inf: none does
	clock     clock
	ringing   bool
	spent     float64 // by the calls of this turn
	busyUntil float64
	stalled   float64 // the loop does not turn before
	turnSet   bool
	inTurn    bool
	started   bool
	stopping  bool
	dead      bool

	used, peak, denied int
}

// item is something that has come for a process: on a connection, or a connection to accept.
type item struct {
	conn   *Conn
	listen *listener
}

var _ netio.EventLoop = (*Process)(nil)

// errInUse is the error of Run where another process listens at an address.
var errInUse = errors.New("address already in use")

// Run starts a program. Its first call comes with the first turn of the loop; who dials until then waits. An address
// that can't be listened at is an error, and nothing is started.
func (p *Process) Run(host netio.Handler) error {
	for _, text := range p.opt.Listen {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("listen %s: %w", text, err)
		}
		if a.Addr() != p.machine.ip {
			return fmt.Errorf("listen %s: not the address of machine %s", text, p.machine.text)
		}
		if p.machine.listeners[a.Port()] != nil {
			p.closeListeners()
			return fmt.Errorf("listen %s: %w", text, errInUse)
		}
		p.listenAt(a.Port(), false)
	}
	p.host, p.alarmAt, p.rungAt = host, math.NaN(), math.Inf(1)
	p.used = p.opt.ReservedDescriptors + len(p.listeners)
	p.peak = p.used
	p.machine.processes = append(p.machine.processes, p)
	p.w.trace(Event{Kind: StateChanged, Process: p.opt.Name, Peer: "started"})
	p.wake()
	return nil
}

func (p *Process) listenAt(port uint16, late bool) *listener {
	l := &listener{owner: p, backlog: p.opt.Backlog, port: port, late: late}
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
		return nil, fmt.Errorf("listen %s: not the address of machine %s", address, p.machine.text)
	case p.machine.listeners[a.Port()] != nil:
		return nil, fmt.Errorf("listen %s: %w", address, errInUse)
	case !p.take():
		return nil, fmt.Errorf("listen %s: %w", address, errFiles)
	}
	l := p.listenAt(a.Port(), true)
	return func() {
		if !l.closed {
			p.used--
			p.closeListenersAs(true, func(o *listener) bool { return o == l })
		}
	}, nil
}

// Name returns what the options call the process.
func (p *Process) Name() string { return p.opt.Name }

// Machine returns where the process runs.
func (p *Process) Machine() *Machine { return p.machine }

// Alive tells whether the process has been started and has not ended.
func (p *Process) IsRunning() bool { return p.host != nil && !p.dead }

// Descriptors returns how many the process holds, and the most that it has held.
func (p *Process) Descriptors() (now, most int) { return p.used, p.peak }

// Denied returns how many times the process has found no descriptor.
func (p *Process) DescriptorFailures() int { return p.denied }

// Conns returns the connections that the process holds; valid until the next event.
func (p *Process) Conns() []*Conn { return p.conns }

// Dialing returns how many dials are under way.
func (p *Process) Dialing() int { return len(p.dials) }

// Kill ends the process at once, as SIGKILL does: its connections are reset, and who dials it is refused.
func (p *Process) Kill() {
	if p.dead || p.host == nil {
		return
	}
	p.die(true)
	p.leaveMachine()
	p.w.trace(Event{Kind: StateChanged, Process: p.opt.Name, Peer: "killed"})
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
func (p *Process) die(speak bool) {
	if p.dead {
		return
	}
	p.dead = true
	for _, c := range p.conns {
		if c.fd, c.endedAt = false, p.w.now; speak {
			c.sendReset()
		}
		c.state = dead
	}
	for _, d := range p.dials {
		d.over = true
		if d.conn != nil {
			d.conn.state = dead
		}
	}
	p.closeListenersAs(speak, all)
	p.conns, p.dials, p.ready, p.posts = nil, nil, nil, nil
}

// Stall keeps the loop from turning before a time. What comes waits, and is then handed over as one batch.
func (p *Process) Stall(until float64) {
	p.stalled = max(p.stalled, until)
}

// Thaw ends a Stall at once.
func (p *Process) EndStall() {
	p.stalled = 0
	if !p.dead && p.host != nil && !p.inTurn { // a turn that waits for the stall's end would come too late
		p.turnSet = true
		p.w.schedule(max(p.w.now, p.busyUntil), event{kind: doTurn, proc: p})
	}
}

// ReadRate says how fast the process reads from a connection, in bytes a second; 0: as fast as they come; below 0:
// not at all.
func (p *Process) SetConnReadRate(conn netio.Conn, rate float64) {
	if c := conn.(*Conn); c.p == p {
		if c.readRate = rate; rate >= 0 {
			c.notify()
		}
	}
}

// SlowDown says how fast the process reads from each connection of which ReadRate has said nothing, as ReadRate does.
func (p *Process) SetReadRate(rate float64) {
	p.opt.ReadRate = rate
	for _, c := range p.conns {
		if c.unread() > 0 || c.finIn {
			c.notify()
		}
	}
}

// Now returns the time by the process's clock. Calls of the host take some, where the options say so.
func (p *Process) Now() float64 { return p.clock.read(p.real()) }

// real returns the same by the world's time.
func (p *Process) real() float64 { return p.w.now + p.spent }

// clock is a process's clock: it was ahead by so much at a time of the world, and gains so much in each second since.
type clock struct{ since, ahead, gains float64 }

func (c *clock) read(at float64) float64 { return at + (c.ahead + (at-c.since)*c.gains) }

// when returns when the clock will read so, or a little more. Danger: at less a host finds nothing due, and asks again.
func (c *clock) when(reads float64) float64 {
	if *c == (clock{}) || math.IsInf(reads, 0) {
		return reads
	}
	return (reads-c.ahead+c.since*c.gains)/(1+c.gains) + roundS
}

// roundS is more than what rounding takes of a time of today.
const roundS = 4e-6

// ClockRate has the process's clock run at a rate from now on; 1 is that of the world. What it is ahead or behind by then stays.
func (p *Process) SetClockRate(rate float64) {
	now := p.w.now
	p.clock = clock{since: now, ahead: p.clock.read(now) - now, gains: rate - 1}
	if !math.IsNaN(p.alarmAt) {
		p.SetAlarm(p.alarmBy)
	}
}

// Post has f called after the present call, and after what else has come for this turn of the loop.
func (p *Process) Post(f func()) {
	if p.dead {
		return
	}
	p.posts = append(p.posts, f)
	p.wake()
}

// Yield has f called once a turn has handed over all that had come: this turn where its connections are still being gone
// through, else the next. Danger: run with the posts it would come before bytes that had come while these took their time.
func (p *Process) Yield(f func()) {
	if p.dead {
		return
	}
	p.yields = append(p.yields, f)
	p.wake()
}

// runYields calls what was asked for before now.
func (p *Process) runYields() {
	due := p.yields
	p.yields = nil
	for _, f := range due {
		if p.dead || p.stopping {
			return
		}
		f()
		p.called()
	}
}

// ReceiveDelaySeconds returns how long ago the socket was given bytes last.
func (p *Process) ReceiveDelaySeconds(conn netio.Conn) float64 {
	return p.real() - conn.(*Conn).receivedAt
}

// PauseReading leaves what comes in the socket.
func (p *Process) PauseReading(conn netio.Conn, ends netio.ClosePolicy) bool {
	c := conn.(*Conn)
	c.paused, c.endsShow = true, ends == netio.ReportClose
	if c.fd && c.endsShow && c.finIn {
		c.notify()
	}
	return true
}

// ResumeReading reads on.
func (p *Process) ResumeReading(conn netio.Conn) {
	if c := conn.(*Conn); c.paused {
		if c.paused = false; c.fd && (c.unread() > 0 || c.finIn || c.resetIn) {
			c.notify()
		}
	}
}

// SetAlarm asks for one call at a time, in place of what was asked for before.
func (p *Process) SetAlarm(at float64) {
	p.alarmBy = at
	p.alarmFor(p.clock.when(at))
}

func (p *Process) alarmFor(at float64) {
	if p.alarmAt = at; at < p.rungAt && !p.dead {
		p.rungAt = max(at, p.w.now)
		p.w.schedule(at, event{kind: doAlarm, proc: p})
	}
}

// alarm takes an alarm's time.
func (p *Process) alarm() {
	if p.dead || p.w.now < p.rungAt {
		return // one that was asked for earlier has come in between
	}
	p.rungAt = math.Inf(1)
	switch {
	case math.IsNaN(p.alarmAt):
	case p.alarmAt > p.w.now:
		p.alarmFor(p.alarmAt)
	default:
		p.ringing = true
		p.wake()
	}
}

// wake has the loop turn, as soon as it can.
func (p *Process) wake() {
	if p.turnSet || p.inTurn || p.dead || p.host == nil {
		return
	}
	at := p.w.now
	if p.opt.MaxWakeDelaySeconds > 0 {
		at += p.opt.MaxWakeDelaySeconds * p.w.rand.Float64()
	}
	p.turnSet = true
	p.w.schedule(max(at, p.busyUntil, p.stalled), event{kind: doTurn, proc: p})
}

// called notes that a call of the host is over.
func (p *Process) called() { p.spent += p.opt.CallSeconds }

// turn is one turn of the loop: connections, then posts, then the alarm.
func (p *Process) turn() {
	p.turnSet = false
	if p.dead {
		return
	}
	if p.stalled > p.w.now {
		p.wake()
		return
	}
	p.inTurn = true
	if !p.started {
		p.started = true
		p.w.mix(p.real(), StateChanged, p, 0, nil)
		p.host.Start()
		p.called()
		p.runPosts()
	}
	p.batch, p.ready = p.ready, p.batch[:0]
	if p.opt.Shuffle && len(p.batch) > 1 {
		p.w.rand.Shuffle(len(p.batch), func(i, j int) { p.batch[i], p.batch[j] = p.batch[j], p.batch[i] })
	}
	for i := 0; i < len(p.batch) && !p.dead && !p.stopping; i++ {
		if t := p.batch[i]; t.listen != nil {
			p.accept(t.listen)
		} else {
			t.conn.serve()
		}
	}
	p.runYields()
	p.runPosts()
	if p.ringing && !p.dead && !p.stopping {
		p.ringing = false
		if p.alarmAt <= p.real() {
			p.alarmAt = math.NaN()
			p.w.mix(p.real(), AlarmFired, p, 0, nil)
			p.host.Alarm()
			p.called()
			p.runPosts()
		} else if p.alarmAt > p.real() {
			p.alarmFor(p.alarmAt)
		}
	}
	if p.stopping && !p.dead {
		p.exit()
	}
	p.busyUntil, p.spent, p.inTurn = p.w.now+p.spent, 0, false
	if len(p.ready) > 0 || len(p.posts) > 0 || len(p.yields) > 0 {
		p.wake()
	}
}

// mostPosts bounds the posts of one turn: a post that posts itself must not keep the world from going on.
const mostPosts = 4096

func (p *Process) runPosts() {
	done := 0
	for ; done < len(p.posts) && done < mostPosts && !p.dead && !p.stopping; done++ {
		f := p.posts[done]
		p.posts[done] = nil
		f()
		p.called()
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
	if !p.take() {
		// As with EMFILE: the connection stays where it is.
		l.starved = true
		return
	}
	c := l.queue[0]
	copy(l.queue, l.queue[1:])
	l.queue[len(l.queue)-1] = nil
	l.queue = l.queue[:len(l.queue)-1]
	c.listen = nil
	p.hold(c)
	c.open(nil)
}

// take takes a descriptor; false: there is none.
func (p *Process) take() bool {
	if p.used >= p.opt.MaxDescriptors {
		p.denied++
		p.w.trace(Event{At: p.real(), Kind: DescriptorsExhausted, Process: p.opt.Name})
		return false
	}
	p.used++
	p.peak = max(p.peak, p.used)
	return true
}

// release gives a descriptor back, for which a connection may wait.
func (p *Process) release() {
	p.used--
	for _, l := range p.listeners {
		if l.starved {
			l.starved = false
			for range l.queue {
				p.ready = append(p.ready, item{listen: l})
			}
			p.wake()
		}
	}
}

// hold notes a connection's descriptor, which has been taken.
func (p *Process) hold(c *Conn) {
	c.fd, c.place = true, len(p.conns)
	p.conns = append(p.conns, c)
}

// drop gives a connection's descriptor back.
func (p *Process) drop(c *Conn) {
	if !c.fd {
		return
	}
	c.fd = false
	last := len(p.conns) - 1
	p.conns[c.place] = p.conns[last]
	p.conns[c.place].place = c.place
	p.conns[last] = nil
	p.conns = p.conns[:last]
	p.release()
}

// StopListening closes the listeners that the options name; what they have not accepted is reset.
func (p *Process) StopListening(done func()) {
	for _, l := range p.listeners {
		if !l.late {
			p.used--
		}
	}
	p.closeListenersAs(true, func(l *listener) bool { return !l.late })
	done()
}

func (p *Process) closeListeners() {
	p.used -= len(p.listeners)
	p.closeListenersAs(true, all)
}

func all(*listener) bool { return true }

// closeListenersAs closes those that which picks.
func (p *Process) closeListenersAs(speak bool, which func(*listener) bool) {
	p.listeners = slices.DeleteFunc(p.listeners, func(l *listener) bool {
		if !which(l) {
			return false
		}
		l.closed = true
		for _, c := range l.queue {
			if speak {
				c.sendReset()
			}
			c.state = dead
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
	p.wake()
}

// exit ends the process in order: each connection that is still open is closed, and the host told.
func (p *Process) exit() {
	p.closeListeners()
	for len(p.conns) > 0 {
		p.conns[0].end(nil)
	}
	for len(p.dials) > 0 {
		p.dials[0].abort()
	}
	p.dead = true
	p.leaveMachine()
	p.w.trace(Event{At: p.real(), Kind: StateChanged, Process: p.opt.Name, Peer: "ended"})
	if p.opt.OnExit != nil {
		p.w.schedule(p.real(), event{kind: doCall, f: p.opt.OnExit})
	}
}

// Close ends a connection at once.
func (p *Process) Close(conn netio.Conn) {
	if c := conn.(*Conn); c.p == p && c.fd {
		c.end(nil)
	}
}

// CloseWrite tells the peer that nothing more will come.
func (p *Process) CloseWrite(conn netio.Conn) {
	if c := conn.(*Conn); c.p == p && c.fd {
		c.shut()
	}
}

// AllAcknowledged tells whether the peer's machine has confirmed all that was written to a connection.
func (p *Process) AllAcknowledged(conn netio.Conn) bool {
	c := conn.(*Conn)
	return !c.fd || len(c.out) == c.head
}

// NothingToRead tells whether nothing waits in a connection's socket.
func (p *Process) NothingToRead(conn netio.Conn) bool {
	c := conn.(*Conn)
	return c.fd && c.unread() == 0 && !c.finIn && !c.resetIn
}

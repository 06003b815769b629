// Package sidecar carries out the decisions of package policy on real sockets: it takes requests from the
// application beside it, sends them to servers, and watches discovery's list.
//
// One event loop owns all state, so nothing here is locked. What runs beside the loop (connecting, the alarm,
// signals) reaches it by post. The decisions are called from the queue of events alone, never from within
// one of their own actions.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/config"
	"hazelwheel/internal/drill"
	"hazelwheel/internal/features"
	"hazelwheel/internal/health"
	"hazelwheel/internal/hostgroup"
	"hazelwheel/internal/rewrite"
	"hazelwheel/policy"
)

const (
	// probeWaitS is how long a probe is waited for. A probe queues at its server like a request; one that
	// takes longer tells the decisions of a line that no request would get through in time.
	probeWaitS = 0.4
	// mostAnswerRoomS is kept of a deadline for writing the answer, so that it is in time.
	mostAnswerRoomS = 0.005
	// spareDescriptors are left for what is no link: standard streams, the listener, the pollers.
	spareDescriptors = 24
	// memoryShare is the part of the memory limit that the garbage collector aims to stay under; the rest
	// is for what it does not count.
	memoryShare = 0.75
)

// Sidecar is the program's state. It belongs to the event loop.
type Sidecar struct {
	cfg      config.Config
	log      *slog.Logger
	clock    clock
	timers   timers
	loop     gnet.EventLoop
	bell     *bell
	counters counters

	balancer *policy.Balancer
	hosts    *hostgroup.Group
	classes  map[string]int
	eventAt  float64 // the time of the event that the decisions handle
	queue    []func(now float64)
	depth    int // of callbacks within each other

	requests map[uint32]*request
	named    map[string]*request // by their clients' ids
	lastID   uint32
	clients  map[*clientLink]struct{}
	idle     map[uint32][]*serverLink
	watcher  *watcher
	drills   *drill.Set
	rewrites rewrite.Settings
	health   *health.Server // nil: there is no side port
	listAt   float64        // when anything was last read from discovery
	listed   bool           // a list has been read from discovery
	capture  *capture.Recorder
	reserved int // descriptors that are kept for features
	slack    float64

	conns    int // connections that gnet holds
	dialing  int // descriptors that dials may hold
	scratch  []byte
	draining bool
	stopping bool

	dumping sync.Mutex    // held while a dump of the capture is written
	over    chan struct{} // closed once the event loop has gone

	hangups <-chan os.Signal
	dumps   <-chan os.Signal
	load    func() (config.Config, error) // reads the configuration again
}

// New returns a sidecar that has not begun.
func New(cfg config.Config, on features.Features, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{cfg: cfg, log: log, clock: newClock(), classes: map[string]int{}, lastID: 1, over: make(chan struct{}),
		requests: map[uint32]*request{}, named: map[string]*request{}, clients: map[*clientLink]struct{}{}, idle: map[uint32][]*serverLink{},
		hosts: hostgroup.New(cfg.Settings.Zones, cfg.Settings.HostTypes), slack: cfg.Settings.AnswerSlackS,
		drills: drill.New(on.Drills), rewrites: on.Rewrites}
	s.timers.clock = s.clock
	if s.listAt = s.clock.now(); on.Health.On() {
		s.health = health.New(on.Health, s.clock.now, log)
		s.reserved += health.Descriptors
	}
	for i, c := range cfg.Settings.Policy.Classes {
		s.classes[c.Name] = i
	}
	s.balancer = policy.New(cfg.Settings.Policy, cfg.Seed, s)
	if on.Capture.On {
		var err error
		if s.capture, err = capture.New(on.Capture, cfg.Settings.Policy, cfg.Seed, s.clock.now(), witness{s}, log); err != nil {
			return nil, err
		}
		if on.Capture.Dir != "" {
			s.reserved += capture.DiskDescriptors
		}
	}
	if len(cfg.Known) > 0 {
		if err := s.list(cfg.Known, policy.ListCached); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return s, nil
}

// answerRoom is how long before its deadline a request's wait ends.
func (s *Sidecar) answerRoom() float64 { return min(mostAnswerRoomS, s.slack) }

// Run serves until the process is told to end and all that was taken is answered. Each hangup has load called,
// beside the event loop, for a new configuration; each signal in dumps has the capture written to standard error.
func (s *Sidecar) Run(hangups, dumps <-chan os.Signal, load func() (config.Config, error)) error {
	s.hangups, s.dumps, s.load = hangups, dumps, load
	defer s.endCapture()
	s.obeyLimits()
	if err := claim(s.cfg.Listen); err != nil {
		return fmt.Errorf("listen %s: %w", s.cfg.Listen, err)
	}
	if err := s.listenSide(); err != nil {
		return err
	}
	// With ReusePort the loop accepts by itself, one connection at a time, and each can be turned away
	// before the next takes a descriptor. Danger: gnet ends the engine when an accept fails.
	// ReuseAddr is for the next start: without it the connections that this one closed stand in the way of
	// claim for a minute.
	return gnet.Run(&handler{s: s}, "tcp://"+s.cfg.Listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithReuseAddr(true), gnet.WithTicker(true), gnet.WithLogger(gnetLogger{s.log}))
}

// start begins work; it is the loop's first task.
func (s *Sidecar) start() {
	s.timers.ring = func() { s.post(func() {}) }
	s.timers.arm()
	s.sweep()
	if s.health != nil {
		s.beat()
	}
	if !s.cfg.Settings.Policy.AskForList {
		s.watch()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.post(s.drain)
		<-signals // a second one does not wait
		os.Exit(1)
	}()
	go s.heedHangups()
	if s.capture != nil {
		go s.heedDumps()
	}
	if s.capture.ToDisk() {
		s.flushCapture()
	}
	s.log.Info("serving", "name", s.cfg.Name, "listen", s.cfg.Listen)
}

// post has the event loop call f.
func (s *Sidecar) post(f func()) {
	run := gnet.RunnableFunc(func(context.Context) error {
		s.enter(f)
		if s.stopping {
			return errShutdown
		}
		return nil
	})
	if err := s.loop.Execute(context.Background(), run); err != nil {
		s.log.Error("event loop is gone", "error", err)
	}
}

// push queues an event for the decisions. It is handled before the present callback ends.
func (s *Sidecar) push(event func(now float64)) { s.queue = append(s.queue, event) }

// enter wraps every callback on the loop: a panic stops here, and the outermost drains the queue and fires
// the timers that are due.
func (s *Sidecar) enter(f func()) {
	s.depth++
	s.guard(f)
	if s.depth--; s.depth > 0 {
		return
	}
	s.depth++
	s.settle()
	for {
		now := s.clock.now()
		t := s.timers.due(now)
		if t == nil {
			break
		}
		s.counters.LateMS = max(s.counters.LateMS, (now-t.at)*1000)
		s.guard(t.call)
		s.settle()
	}
	s.depth--
	// The alarm has gone off, or the first timer has changed.
	s.timers.armed = 0
	s.timers.arm()
}

// settle hands the queued events to the decisions, with what follows from them.
func (s *Sidecar) settle() {
	for i := 0; i < len(s.queue); i++ {
		event := s.queue[i]
		s.queue[i] = nil
		s.eventAt = s.clock.now()
		s.guard(func() { event(s.eventAt) })
	}
	s.queue = s.queue[:0]
}

// guard calls f; a panic is logged and counted, and true is returned.
func (s *Sidecar) guard(f func()) (failed bool) {
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

// room tells whether n more descriptors can be held.
func (s *Sidecar) room(n int) bool {
	return s.conns+s.dialing+n <= s.mostLinks()
}

// mostLinks is how many descriptors links may hold.
func (s *Sidecar) mostLinks() int { return s.cfg.Limits.Sockets - spareDescriptors - s.reserved }

// closeConn closes a connection at once; nil is none.
func (s *Sidecar) closeConn(c gnet.Conn) {
	if c != nil {
		_ = s.loop.Close(c) // an error concerns a connection that is gone already
	}
}

// Counters returns the counters as JSON. Once Run has returned it may be called from outside the loop.
func (s *Sidecar) Counters() []byte {
	s.counters.Descriptors = s.conns + s.dialing
	s.counters.DrillHits, s.counters.Capture = s.drills.Hits(), s.capture.Stats()
	return s.counters.text()
}

package sockets

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"golang.org/x/sys/unix"

	"hazelwheel/internal/netio"
)

// EventLoop implements netio.EventLoop with one gnet event loop.
type EventLoop struct {
	listenAddresses []string
	inherited       *listenerSet  // nil unless Inherit was called
	done            chan struct{} // closed to make runInherited return
	doneOnce        sync.Once
	log             *slog.Logger
	clock           clock
	handler         netio.Handler
	loop            gnet.EventLoop

	timer    *time.Timer
	waker    *waker // nil until gnet has opened its connection
	yielded  []func()
	epollFD  int   // gnet's epoll instance; -1: unknown
	stopping bool  // the loop ends after the current task
	startErr error // why the loop could not be started

	mu      sync.Mutex // guards the fields below
	posted  []func()   // posts from before the loop ran
	started bool       // Post passes functions to gnet
	stopped bool       // Run has returned
}

var _ netio.EventLoop = (*EventLoop)(nil)

// New returns an event loop that will listen at addresses with ports.
func New(log *slog.Logger, listen ...string) *EventLoop {
	return &EventLoop{listenAddresses: listen, log: log, clock: newClock(), done: make(chan struct{})}
}

// Run listens and calls handler until Stop is called. It returns an error if the loop can't be started.
func (e *EventLoop) Run(handler netio.Handler) error {
	e.handler = handler
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stopped = true
	}()
	var urls []string
	if e.inherited != nil {
		return e.runInherited()
	}
	for _, address := range e.listenAddresses {
		if err := checkAddressFree(address); err != nil {
			return fmt.Errorf("listen %s: %w", address, err)
		}
		urls = append(urls, "tcp://"+address)
	}
	// With ReusePort the event loop itself accepts connections, one at a time, so that each can be rejected before the next one uses a
	// descriptor. Danger: gnet stops the engine when an accept fails, for example for lack of descriptors. ReuseAddr is set for the next
	// start of the program: without it, connections in TIME_WAIT make checkAddressFree fail for a minute.
	err := gnet.Rotate(&gnetHandler{loop: e}, urls, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithReuseAddr(true), gnet.WithTicker(true), gnet.WithLogger(gnetLogger{e.log}))
	return cmp.Or(err, e.startErr)
}

// Now implements netio.EventLoop. Its source is the monotonic clock.
func (e *EventLoop) Now() float64 { return e.clock.now() }

// errEngineShutdown ends gnet's event loop when a task returns it.
var errEngineShutdown = gneterrors.ErrEngineShutdown

// errStopped is logged for a post after the event loop has ended.
var errStopped = errors.New("event loop stopped")

// Post implements netio.EventLoop. It may also be called before Run; f is then called after Handler.Start.
func (e *EventLoop) Post(f func()) {
	e.mu.Lock()
	if !e.started && !e.stopped {
		e.posted = append(e.posted, f)
		e.mu.Unlock()
		return
	}
	e.mu.Unlock()
	e.execute(f)
}

// execute has the event loop call f. The loop must have been started.
func (e *EventLoop) execute(f func()) {
	run := gnet.RunnableFunc(func(context.Context) error {
		f()
		if e.stopping {
			return errEngineShutdown
		}
		return nil
	})
	if e.loop == nil {
		e.log.Error("post dropped", "error", errStopped)
	} else if err := e.loop.Execute(context.Background(), run); err != nil {
		e.log.Error("post dropped", "error", err)
	}
}

// attach starts to use gnet's event loop, which it gets from the first connection. It calls Handler.Start, and then the functions posted
// before.
func (e *EventLoop) attach(c gnet.Conn) {
	e.loop = c.EventLoop()
	e.epollFD = findEpollFD(c.Fd())
	e.handler.Start()
	e.mu.Lock()
	posted := e.posted
	e.posted, e.started = nil, true
	e.mu.Unlock()
	for _, f := range posted {
		e.execute(f)
	}
	if e.inherited != nil {
		e.inherited.start(e)
	}
}

// Yield implements netio.EventLoop with the waker. A task of gnet can't be used instead: it runs within the current poll or at its
// end, before sockets that did not fit into the poll's event list. epoll reports sockets in the order in which they became ready, so
// all sockets that were ready before the waker are handled first.
func (e *EventLoop) Yield(f func()) {
	e.yielded = append(e.yielded, f)
	if len(e.yielded) == 1 && e.waker.wake() != nil { // an error means that the engine has closed the waker
		e.execute(e.runYields)
	}
}

// runYields calls the functions given to Yield.
func (e *EventLoop) runYields() {
	yielded := e.yielded
	e.yielded = nil
	for _, f := range yielded {
		f()
	}
}

// SetAlarm implements netio.EventLoop with one runtime timer.
func (e *EventLoop) SetAlarm(at float64) {
	wait := max(time.Until(e.clock.time(at)), 0)
	if e.timer == nil {
		e.timer = time.AfterFunc(wait, func() { e.execute(e.handler.Alarm) })
		return
	}
	e.timer.Reset(wait)
}

// Dial implements netio.EventLoop. It dials on a separate goroutine, since gnet's dial would block the loop or have no timeout.
func (e *EventLoop) Dial(address string, until float64, connContext any, done func(error)) func() {
	ctx, cancel := context.WithDeadline(context.Background(), e.clock.time(until))
	report := func(err error) {
		e.execute(func() {
			cancel()
			done(err)
		})
	}
	go func() {
		dialer := net.Dialer{KeepAlive: -1}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			report(err)
			return
		}
		result, err := e.loop.Enroll(gnet.NewContext(context.Background(), connContext), conn)
		if err != nil {
			conn.Close()
			report(err)
			return
		}
		report((<-result).Err)
	}()
	return cancel
}

// Close implements netio.EventLoop. The descriptor is released at once.
func (e *EventLoop) Close(c netio.Conn) {
	if c != nil {
		_ = e.loop.Close(c.(gnet.Conn)) // fails only for a connection that has ended
	}
}

// CloseWrite implements netio.EventLoop.
func (e *EventLoop) CloseWrite(c netio.Conn) {
	_ = unix.Shutdown(c.(gnet.Conn).Fd(), unix.SHUT_WR) // fails only if the peer has closed
}

// NothingToRead implements netio.EventLoop by peeking at the socket.
func (e *EventLoop) NothingToRead(c netio.Conn) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.(gnet.Conn).Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// AllAcknowledged implements netio.EventLoop with the size of the kernel's send queue (TIOCOUTQ).
func (e *EventLoop) AllAcknowledged(c netio.Conn) bool {
	if c.OutboundBuffered() > 0 {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(c.(gnet.Conn).Fd(), unix.TIOCOUTQ)
	return err != nil || unacknowledged == 0
}

// ReceiveDelaySeconds implements netio.EventLoop with TCP_INFO, whose resolution is the kernel's tick of some milliseconds.
func (e *EventLoop) ReceiveDelaySeconds(c netio.Conn) float64 {
	info, err := unix.GetsockoptTCPInfo(c.(gnet.Conn).Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return float64(info.Last_data_recv) / 1000
}

// Stop implements netio.EventLoop: Run returns after the current call.
func (e *EventLoop) Stop() {
	e.stopping = true
	e.signalDone()
	e.execute(func() {})
}

// Package sockets is the seam's real side: one gnet event loop, the machine's sockets and its clock.
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

// EventLoop is an event loop that has not begun to turn, or turns. What netio.EventLoop says of the loop's own goroutine holds.
type EventLoop struct {
	listenAddresses []string
	inherited       *listenerSet  // the listener that was inherited for the first address; nil: none was
	done            chan struct{} // closed once the loop ends that listens nowhere itself
	doneOnce        sync.Once
	log             *slog.Logger
	clock           clock
	handler         netio.Handler
	loop            gnet.EventLoop

	timer    *time.Timer
	waker    *waker
	yielded  []func()
	epollFD  int // gnet's own descriptor; below 0: it can't be had
	stopping bool
	startErr error // why there never was a loop

	mu      sync.Mutex
	posted  []func() // before there was a loop
	started bool     // the loop takes posts itself
	stopped bool     // the loop has gone
}

var _ netio.EventLoop = (*EventLoop)(nil)

// New returns a loop that is to listen at addresses and ports.
func New(log *slog.Logger, listen ...string) *EventLoop {
	return &EventLoop{listenAddresses: listen, log: log, clock: newClock(), done: make(chan struct{})}
}

// Run listens and calls host until Stop is called.
func (n *EventLoop) Run(handler netio.Handler) error {
	n.handler = handler
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.stopped = true
	}()
	var urls []string
	if n.inherited != nil {
		return n.runInherited()
	}
	for _, address := range n.listenAddresses {
		if err := checkAddressFree(address); err != nil {
			return fmt.Errorf("listen %s: %w", address, err)
		}
		urls = append(urls, "tcp://"+address)
	}
	// With ReusePort the loop accepts by itself, one connection at a time, and each can be turned away
	// before the next takes a descriptor. Danger: gnet ends the engine when an accept fails.
	// ReuseAddr is for the next start: without it the connections that this one closed stand in the way of
	// claim for a minute.
	err := gnet.Rotate(&gnetHandler{loop: n}, urls, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
		gnet.WithReuseAddr(true), gnet.WithTicker(true), gnet.WithLogger(gnetLogger{n.log}))
	return cmp.Or(err, n.startErr)
}

// Now is on the machine's monotonic clock.
func (n *EventLoop) Now() float64 { return n.clock.now() }

// errShutdown, returned by a task, ends gnet's event loop.
var errEngineShutdown = gneterrors.ErrEngineShutdown

// errOver is the end of what is asked for after the loop has gone.
var errStopped = errors.New("the event loop has gone")

// Post may be called before Run, too; what is posted then is called right after Host.Start.
func (n *EventLoop) Post(f func()) {
	n.mu.Lock()
	if !n.started && !n.stopped {
		n.posted = append(n.posted, f)
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	n.execute(f)
}

// execute has the loop, which is there, call f.
func (n *EventLoop) execute(f func()) {
	run := gnet.RunnableFunc(func(context.Context) error {
		f()
		if n.stopping {
			return errEngineShutdown
		}
		return nil
	})
	if n.loop == nil {
		n.log.Error("not posted", "error", errStopped)
	} else if err := n.loop.Execute(context.Background(), run); err != nil {
		n.log.Error("not posted", "error", err)
	}
}

// start takes the loop of a first connection into use.
func (n *EventLoop) attach(c gnet.Conn) {
	n.loop = c.EventLoop()
	n.epollFD = findEpollFD(c.Fd())
	n.handler.Start()
	n.mu.Lock()
	posted := n.posted
	n.posted, n.started = nil, true
	n.mu.Unlock()
	for _, f := range posted {
		n.execute(f)
	}
	if n.inherited != nil {
		n.inherited.start(n)
	}
}

// Yield goes through the wake-up socket. Danger: a task of gnet's runs at the end of the present round, or within the
// same, and sockets beyond the round's size have not been looked at by then. epoll tells of sockets in the order in
// which they became ready, so all that were ready before come first.
func (n *EventLoop) Yield(f func()) {
	n.yielded = append(n.yielded, f)
	if len(n.yielded) == 1 && n.waker.ring() != nil { // it has gone with the engine
		n.execute(n.runYields)
	}
}

// yields calls what Yield was given.
func (n *EventLoop) runYields() {
	todo := n.yielded
	n.yielded = nil
	for _, f := range todo {
		f()
	}
}

// SetAlarm sets the one runtime timer.
func (n *EventLoop) SetAlarm(at float64) {
	wait := max(time.Until(n.clock.time(at)), 0)
	if n.timer == nil {
		n.timer = time.AfterFunc(wait, func() { n.execute(n.handler.Alarm) })
		return
	}
	n.timer.Reset(wait)
}

// Dial connects beside the event loop: gnet's own dialing would block it, or go on without an end.
func (n *EventLoop) Dial(address string, until float64, connContext any, done func(error)) func() {
	ctx, cancel := context.WithDeadline(context.Background(), n.clock.time(until))
	report := func(err error) {
		n.execute(func() {
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
		result, err := n.loop.Enroll(gnet.NewContext(context.Background(), connContext), conn)
		if err != nil {
			conn.Close()
			report(err)
			return
		}
		report((<-result).Err)
	}()
	return cancel
}

// Close gives back the descriptor at once.
func (n *EventLoop) Close(c netio.Conn) {
	if c != nil {
		_ = n.loop.Close(c.(gnet.Conn)) // an error concerns a connection that is gone already
	}
}

// CloseWrite sends the end behind the last byte.
func (n *EventLoop) CloseWrite(c netio.Conn) {
	_ = unix.Shutdown(c.(gnet.Conn).Fd(), unix.SHUT_WR) // fails only if the peer has closed
}

// NothingToRead costs a system call.
func (n *EventLoop) NothingToRead(c netio.Conn) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.(gnet.Conn).Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// AllAcknowledged asks the kernel how much it holds that is not confirmed.
func (n *EventLoop) AllAcknowledged(c netio.Conn) bool {
	if c.OutboundBuffered() > 0 {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(c.(gnet.Conn).Fd(), unix.TIOCOUTQ)
	return err != nil || unacknowledged == 0
}

// ReceiveDelaySeconds asks the kernel, which counts in its own ticks of some milliseconds.
func (n *EventLoop) ReceiveDelaySeconds(c netio.Conn) float64 {
	info, err := unix.GetsockoptTCPInfo(c.(gnet.Conn).Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return float64(info.Last_data_recv) / 1000
}

// Stop ends Run.
func (n *EventLoop) Stop() {
	n.stopping = true
	n.signalDone()
	n.execute(func() {})
}

// claim finds out whether an address can be listened at. Danger: ReusePort lets a second process share the
// port, and each would get a part of the clients.
func checkAddressFree(address string) error {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	family, sa := unix.AF_INET, unix.Sockaddr(nil)
	if ip := a.IP.To4(); ip != nil {
		sa = &unix.SockaddrInet4{Port: a.Port, Addr: [4]byte(ip)}
	} else {
		family, sa = unix.AF_INET6, &unix.SockaddrInet6{Port: a.Port, Addr: [16]byte(a.IP.To16())}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer func() { _ = unix.Close(fd) }() // fails only on a descriptor that is not open
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return unix.Bind(fd, sa)
}

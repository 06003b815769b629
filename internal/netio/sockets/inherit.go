package sockets

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// ErrNotListeningSocket is returned by Inherit for a descriptor that is not a listening TCP socket.
var ErrNotListeningSocket = errors.New("not a listening TCP socket")

// listenerSet is a set of listeners whose connections are accepted outside gnet's loop. The first one is inherited. Danger: an inherited
// socket is shared by several processes. This process may only close its descriptor: a shutdown, or a filter attached to the socket, would
// affect all of them.
type listenerSet struct {
	listeners []net.Listener
	accepting sync.WaitGroup // counts the accept loops
}

// Inherit makes the event loop accept connections from an inherited descriptor instead of listening at its first address. It takes
// ownership of the descriptor. It must be called before Run.
func (e *EventLoop) Inherit(fd int) error {
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listening != 1 {
		return fmt.Errorf("descriptor %d: %w", fd, ErrNotListeningSocket)
	}
	f := os.NewFile(uintptr(fd), "passed")
	defer func() { _ = f.Close() }() // net.FileListener has duplicated the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return fmt.Errorf("descriptor %d: %w: %w", fd, ErrNotListeningSocket, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return fmt.Errorf("descriptor %d: %w", fd, ErrNotListeningSocket)
	}
	e.inherited = &listenerSet{listeners: []net.Listener{l}}
	return nil
}

// runInherited runs an event loop without gnet's own listeners. gnet can't use an existing socket, so connections are accepted outside
// it and enrolled.
func (e *EventLoop) runInherited() error {
	// ReusePort lets this process listen at the other addresses while its predecessor still does.
	config := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) (err error) {
		_ = c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }) // fails only on a closed descriptor
		return err
	}}
	defer e.inherited.closeAll()
	for _, address := range e.listenAddresses[1:] {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			return fmt.Errorf("listen %s: %w", address, err)
		}
		e.inherited.listeners = append(e.inherited.listeners, l)
	}
	client, err := gnet.NewClient(&gnetHandler{loop: e}, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{e.log}))
	if err != nil {
		return err
	}
	if err := client.Start(); err != nil {
		return err
	}
	ownWaker := &waker{}
	if err := ownWaker.connect(func(c net.Conn, w *waker) error {
		_, err := client.EnrollContext(c, w)
		return err
	}); err != nil {
		e.startErr = fmt.Errorf("start event loop: %w", err)
		e.signalDone()
	}
	<-e.done
	return cmp.Or(client.Stop(), e.startErr)
}

// signalDone makes runInherited return.
func (e *EventLoop) signalDone() { e.doneOnce.Do(func() { close(e.done) }) }

// closeAll closes this process's descriptors of the listeners.
func (s *listenerSet) closeAll() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// start starts an accept loop for each listener.
func (s *listenerSet) start(e *EventLoop) {
	for _, l := range s.listeners {
		s.accepting.Go(func() { s.accept(e, l) })
	}
}

// stop closes the listeners, and calls done on the event loop once Handler.Open has been called for all accepted connections, or after
// acceptStopTimeout.
func (s *listenerSet) stop(e *EventLoop, done func()) {
	s.closeAll()
	go func() {
		idle := make(chan struct{})
		go func() {
			s.accepting.Wait()
			close(idle)
		}()
		select {
		case <-idle:
		case <-time.After(acceptStopTimeout):
			e.log.Warn("accept still in progress: another process has made the inherited socket blocking", "timeout", acceptStopTimeout)
		}
		e.execute(done)
	}()
}

// acceptStopTimeout bounds the wait for accept loops to end.
const acceptStopTimeout = 500 * time.Millisecond

// accept runs the accept loop of one listener.
func (s *listenerSet) accept(e *EventLoop, l net.Listener) {
	raw, err := l.(syscall.Conn).SyscallConn()
	if err != nil {
		e.log.Error("accept loop not started", "error", err)
		return
	}
	// Danger: another process that shares the socket may make it blocking for all of them. A blocking accept would continue after the
	// listener is closed, and keep this process from exiting.
	e.acceptLoop(l, func() {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetNonblock(int(fd), true) }) // if the listener is closed, Accept returns the error
	})
}

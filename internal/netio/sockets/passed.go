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

// ErrPassed is the fault of a passed descriptor that nobody can be accepted at.
var ErrNotListeningSocket = errors.New("not a listening TCP socket")

// passed are listening sockets beside the loop: the first is inherited. Danger: that is one open file in several processes.
// It is closed and nothing else: shut down, or with a filter on it, it would be deaf in all of them.
type listenerSet struct {
	listeners []net.Listener
	accepting sync.WaitGroup // at each, until its last connection is open
}

// Inherit has the loop accept at a passed descriptor in place of its first address. The descriptor is taken over.
func (n *EventLoop) Inherit(fd int) error {
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listening != 1 {
		return fmt.Errorf("descriptor %d: %w", fd, ErrNotListeningSocket)
	}
	f := os.NewFile(uintptr(fd), "passed")
	defer func() { _ = f.Close() }() // read only
	l, err := net.FileListener(f)
	if err != nil {
		return fmt.Errorf("descriptor %d: %w: %w", fd, ErrNotListeningSocket, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return fmt.Errorf("descriptor %d: %w", fd, ErrNotListeningSocket)
	}
	n.inherited = &listenerSet{listeners: []net.Listener{l}}
	return nil
}

// runPassed runs a loop that listens nowhere itself: gnet can't be given a socket, so connections are accepted beside it.
func (n *EventLoop) runInherited() error {
	// ReusePort is for the process that is succeeded, which listens at the other addresses still.
	config := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) (err error) {
		_ = c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }) // it is open
		return err
	}}
	defer n.inherited.closeAll()
	for _, address := range n.listenAddresses[1:] {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			return fmt.Errorf("listen %s: %w", address, err)
		}
		n.inherited.listeners = append(n.inherited.listeners, l)
	}
	client, err := gnet.NewClient(&gnetHandler{loop: n}, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{n.log}))
	if err != nil {
		return err
	}
	if err := client.Start(); err != nil {
		return err
	}
	wakeUp := &waker{}
	if err := wakeUp.connect(func(c net.Conn, w *waker) error {
		_, err := client.EnrollContext(c, w)
		return err
	}); err != nil {
		n.startErr = fmt.Errorf("the event loop can't be had: %w", err)
		n.signalDone()
	}
	<-n.done
	return cmp.Or(client.Stop(), n.startErr)
}

// end lets runPassed go on to its end.
func (n *EventLoop) signalDone() { n.doneOnce.Do(func() { close(n.done) }) }

func (p *listenerSet) closeAll() {
	for _, l := range p.listeners {
		l.Close()
	}
}

// begin accepts at all listeners.
func (p *listenerSet) start(n *EventLoop) {
	for _, l := range p.listeners {
		p.accepting.Go(func() { p.accept(n, l) })
	}
}

// stop has done called once all who were accepted are open.
func (p *listenerSet) stop(n *EventLoop, done func()) {
	p.closeAll()
	go func() {
		idle := make(chan struct{})
		go func() {
			p.accepting.Wait()
			close(idle)
		}()
		select {
		case <-idle:
		case <-time.After(acceptStopTimeout):
			n.log.Warn("an accept goes on: another process has made the passed socket block")
		}
		n.execute(done)
	}()
}

// stopWithin bounds the wait for an accept that has begun.
const acceptStopTimeout = 500 * time.Millisecond

// accept hands connections to the loop.
func (p *listenerSet) accept(n *EventLoop, l net.Listener) {
	raw, err := l.(syscall.Conn).SyscallConn()
	if err != nil {
		n.log.Error("nobody can be accepted", "error", err)
		return
	}
	// Danger: whoever else holds the socket may make it block, for all of them. An accept that blocks outlives the listener's
	// end, and the process with it.
	n.acceptLoop(l, func() {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetNonblock(int(fd), true) }) // a closed listener shows in Accept
	})
}

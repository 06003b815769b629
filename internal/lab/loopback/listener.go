package loopback

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// listener is a listening socket that can be silenced: new connections are then neither accepted nor refused. One goroutine accepts; the other methods
// are for the loop.
type listener struct {
	net.Listener
	fillers []net.Conn
	silent  bool          // the accepting goroutine is parked
	parked  chan struct{} // receives a signal from it then
	resumed chan struct{} // receives a signal for it to go on
	closed  chan struct{}
}

// fillFrom is the address of the connections that fill queues, and of no others.
var fillFrom = netip.MustParseAddr("127.255.0.1")

func listen(address string) (*listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, parked: make(chan struct{}), resumed: make(chan struct{}), closed: make(chan struct{})}, nil
}

// Accept returns the next connection. It waits while the listener is silent, and ends with net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		select {
		case l.parked <- struct{}{}:
		case <-l.closed:
			return nil, net.ErrClosed
		}
		select {
		case <-l.resumed:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// setBacklog sets the number of connections that may wait to be accepted.
func (l *listener) setBacklog(n int) {
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) })
}

// silence has the system drop new connections: the queue has room for one, which is filled, and nothing accepts. Danger: the
// accepting goroutine may stand between its look at the deadline and its call of accept; it would take a connection that fills the
// queue, and leave room for one that comes later. So the queue is filled once that goroutine has parked.
func (l *listener) silence() {
	if l.silent {
		return
	}
	l.silent = true
	l.setBacklog(0)
	_ = l.Listener.(*net.TCPListener).SetDeadline(pastDeadline)
	<-l.parked
	for range 2 { // Linux lets one more wait than the backlog says
		dialer := net.Dialer{Timeout: fillTimeout, LocalAddr: &net.TCPAddr{IP: fillFrom.AsSlice()}}
		if c, err := dialer.Dial("tcp", l.Addr().String()); err == nil {
			l.fillers = append(l.fillers, c)
		}
	}
}

// resume ends silence.
func (l *listener) resume() {
	if !l.silent {
		return
	}
	l.silent = false
	for _, c := range l.fillers {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	l.fillers = nil
	l.setBacklog(listenBacklog)
	_ = l.Listener.(*net.TCPListener).SetDeadline(noDeadline)
	l.resumed <- struct{}{}
}

func (l *listener) close() {
	close(l.closed)
	for _, c := range l.fillers {
		c.Close()
	}
	l.Listener.Close()
}

// bindWithoutPort leaves the choice of the port until the other end of the connection is known. Danger: otherwise ports run out for all targets at once.
func bindWithoutPort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}

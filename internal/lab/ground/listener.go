package ground

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// listener is a listening socket that can fall silent: new connections then never come up, and are not refused either.
type listener struct {
	net.Listener
	fillers []net.Conn
}

// fillFrom is the address of those that fill queues, and of nobody else.
var fillFrom = netip.MustParseAddr("127.255.0.1")

func listen(address string) (*listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l}, nil
}

// backlog sets how many connections may wait to be accepted.
func (l *listener) backlog(n int) {
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) })
}

// disappear has the system drop whoever calls: the queue has room for one, which is taken, and nobody accepts. Danger: the
// accepting goroutine must be kept from it, so the deadline has passed for it until appear.
func (l *listener) disappear() {
	l.backlog(0)
	_ = l.Listener.(*net.TCPListener).SetDeadline(longAgo)
	for range 2 { // Linux lets one more wait than it was told
		dialer := net.Dialer{Timeout: fillWithin, LocalAddr: &net.TCPAddr{IP: fillFrom.AsSlice()}}
		if c, err := dialer.Dial("tcp", l.Addr().String()); err == nil {
			l.fillers = append(l.fillers, c)
		}
	}
}

// appear ends that.
func (l *listener) appear() {
	for _, c := range l.fillers {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	l.fillers = nil
	l.backlog(usualBacklog)
	_ = l.Listener.(*net.TCPListener).SetDeadline(never)
}

func (l *listener) close() {
	for _, c := range l.fillers {
		c.Close()
	}
	l.Listener.Close()
}

// manyPorts leaves the choice of the port until the connection's other end is known. Danger: otherwise ports run out for
// all targets at once.
func manyPorts(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}

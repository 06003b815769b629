package sockets

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// handshakeTime is how long StopListening waits for handshakes in progress. No new ones can start meanwhile.
const handshakeTime = 10 * time.Millisecond

// StopListening implements netio.EventLoop. Danger: closing a listener resets the connections that the kernel has accepted but gnet has
// not, and their clients may have sent requests already. So a BPF filter that drops new connections is attached to the listener first,
// then gnet accepts the connections that are left in the queue, and the listener is closed last.
func (e *EventLoop) StopListening(done func()) {
	if e.inherited != nil {
		e.inherited.stop(e, done)
		return
	}
	listeners := e.listenerFDs()
	if len(listeners) == 0 {
		done()
		return
	}
	remaining := len(listeners)
	closed := func() {
		if remaining--; remaining == 0 {
			done()
		}
	}
	wait := time.Duration(0)
	for _, fd := range listeners {
		if err := dropNewConnections(fd); err != nil {
			e.log.Warn("listener filter not attached, new connections may be reset", "error", err)
			continue
		}
		wait = handshakeTime
	}
	time.AfterFunc(wait, func() {
		e.execute(func() {
			for _, fd := range listeners {
				e.closeDrainedListener(fd, closed)
			}
		})
	})
}

// dropNewConnections attaches a filter to a listener that drops the first packet (SYN) of each new connection, and no other packets. Danger: the
// client considers a connection established once it has received the SYN-ACK. If the filter dropped the ACK of the client as well, the connection
// would never be accepted, and closing the listener would reset it together with the request that follows.
func dropNewConnections(fd int) error {
	const flagsOffset, flagsMask, isFirst, acceptAll = 13, 0x12, 0x02, 0xffffffff // offset of the TCP flags; SYN and ACK; SYN only
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagsMask},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 0, Jf: 1, K: isFirst},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// closeDrainedListener closes a listener once its accept queue is empty, and then calls closed. It must run as a task of gnet: tasks run
// after all events of a poll have been handled, so that no event of the listener is pending. Danger: gnet would otherwise try to accept
// from the closed listener, and an accept that fails stops its engine.
func (e *EventLoop) closeDrainedListener(fd int, closed func()) {
	pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	if ready, err := unix.Poll(pollFDs, 0); ready > 0 || err == unix.EINTR {
		e.Yield(func() { e.execute(func() { e.closeDrainedListener(fd, closed) }) })
		return
	}
	defer closed()
	if err := unix.EpollCtl(e.epollFD, unix.EPOLL_CTL_DEL, fd, nil); err != nil {
		e.log.Error("listener not closed", "error", err)
		return
	}
	_ = unix.Shutdown(fd, unix.SHUT_RDWR) // fails only if the socket is not listening
}

// errNoEpoll is logged if gnet's epoll instance was not found.
var errNoEpoll = errors.New("epoll instance not found")

// listenerFDs returns the descriptors of the listeners that gnet polls.
func (e *EventLoop) listenerFDs() (fds []int) {
	if e.epollFD < 0 {
		e.log.Error("listeners not closed", "error", errNoEpoll)
		return nil
	}
	for _, fd := range registeredFDs(e.epollFD) {
		if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err == nil && listening == 1 {
			fds = append(fds, fd)
		}
	}
	return fds
}

// checkAddressFree returns an error if another socket uses an address. Danger: SO_REUSEPORT, which gnet sets, lets a second process listen
// at the same port, and each would get a part of the clients.
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

// Listen implements netio.EventLoop. Connections are accepted outside gnet's loop, since gnet can't open listeners once it runs.
func (e *EventLoop) Listen(address string) (stop func(), err error) {
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	go e.acceptLoop(l, func() {})
	return func() { l.Close() }, nil
}

// acceptRetryInterval is the delay after a failed accept, which is usually due to a lack of descriptors.
const acceptRetryInterval = 5 * time.Millisecond

// acceptLoop passes connections to the event loop until the listener is closed. It accepts one at a time, so that each can be rejected
// before the next one uses a descriptor. beforeAccept is called before each accept.
func (e *EventLoop) acceptLoop(l net.Listener, beforeAccept func()) {
	for {
		beforeAccept()
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
			continue
		}
		result, err := e.loop.Enroll(context.Background(), c)
		if err != nil {
			c.Close()
			continue
		}
		<-result
	}
}

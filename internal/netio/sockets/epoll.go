package sockets

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"hazelwheel/internal/netio"
)

// gnet can neither leave a connection unread nor close its listener and go on. Both are a word to the epoll instance
// that it waits at, and Linux tells a process which of its descriptors wait where.

// findEpoll returns the descriptor of the epoll instance at which fd waits, -1 if the system does not tell.
func findEpollFD(fd int) int {
	links, _ := filepath.Glob("/proc/self/fd/*")
	for _, link := range links {
		if target, err := os.Readlink(link); err != nil || target != "anon_inode:[eventpoll]" {
			continue
		}
		n, err := strconv.Atoi(filepath.Base(link))
		if err != nil {
			continue
		}
		for _, waiting := range registeredFDs(n) {
			if waiting == fd {
				return n
			}
		}
	}
	return -1
}

// waitingAt returns the descriptors that wait at an epoll instance.
func registeredFDs(epoll int) (fds []int) {
	f, err := os.Open("/proc/self/fdinfo/" + strconv.Itoa(epoll))
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }() // read only
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "tfd:" {
			if fd, err := strconv.Atoi(fields[1]); err == nil {
				fds = append(fds, fd)
			}
		}
	}
	return fds
}

// PauseReading has epoll tell of a connection no more, but that it can be written to again while it can't. Danger: gnet
// itself asks for reading again once all that it holds for the connection has been sent; who pauses a connection that
// is owed an answer finds it resumed when its peer has taken that.
func (n *EventLoop) PauseReading(c netio.Conn, closing netio.ClosePolicy) bool {
	events := uint32(0)
	if c.OutboundBuffered() > 0 {
		events |= unix.EPOLLOUT
	}
	if closing == netio.ReportClose {
		events |= unix.EPOLLRDHUP
	}
	return n.setEpollEvents(c, events)
}

// ResumeReading has epoll tell of what can be read.
func (n *EventLoop) ResumeReading(c netio.Conn) {
	events := uint32(unix.EPOLLIN | unix.EPOLLPRI)
	if c.OutboundBuffered() > 0 {
		events |= unix.EPOLLOUT
	}
	n.setEpollEvents(c, events)
}

func (n *EventLoop) setEpollEvents(c netio.Conn, events uint32) bool {
	fd := c.(gnet.Conn).Fd()
	return n.epollFD >= 0 && unix.EpollCtl(n.epollFD, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Fd: int32(fd), Events: events}) == nil
}

// StopListening closes the listener for newcomers once all that the kernel has accepted by then is taken. Danger: what
// it has accepted and nobody takes is reset, with requests on it that its clients know to be taken. So the listener
// first drops whatever comes (by a filter that passes nothing), gnet empties it, and it is closed last.
func (n *EventLoop) StopListening(done func()) {
	if n.inherited != nil {
		n.inherited.stop(n, done)
		return
	}
	listeners := n.listenerFDs()
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
	for _, fd := range listeners {
		rejectAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		program := unix.SockFprog{Len: 1, Filter: &rejectAll}
		if err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program); err != nil {
			n.log.Warn("newcomers may be reset", "error", err)
		}
		n.execute(func() { n.closeDrainedListener(fd, closed) })
	}
}

// closeListener closes a listener once it is empty, and calls closed. It is for gnet's tasks: they come when all events of a round have been
// handled, and none of the listener's can wait. Danger: an accept that fails ends the engine.
func (n *EventLoop) closeDrainedListener(fd int, closed func()) {
	wait := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	if ready, err := unix.Poll(wait, 0); ready > 0 || err == unix.EINTR {
		n.Yield(func() { n.execute(func() { n.closeDrainedListener(fd, closed) }) })
		return
	}
	defer closed()
	if err := unix.EpollCtl(n.epollFD, unix.EPOLL_CTL_DEL, fd, nil); err != nil {
		n.log.Error("the listener stays open", "error", err)
		return
	}
	_ = unix.Shutdown(fd, unix.SHUT_RDWR) // fails only if it does not listen
}

// listeners returns the descriptors at which the loop listens.
func (n *EventLoop) listenerFDs() (fds []int) {
	if n.epollFD < 0 {
		n.log.Error("the listener stays open: the system does not tell of it")
		return nil
	}
	for _, fd := range registeredFDs(n.epollFD) {
		if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err == nil && listening == 1 {
			fds = append(fds, fd)
		}
	}
	return fds
}

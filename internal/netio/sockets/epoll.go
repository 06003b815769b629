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

// findEpollFD returns the descriptor of the epoll instance that polls fd, or -1 if it can't be determined.
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
		for _, polled := range registeredFDs(n) {
			if polled == fd {
				return n
			}
		}
	}
	return -1
}

// registeredFDs returns the descriptors that an epoll instance polls.
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

// PauseReading implements netio.EventLoop: epoll polls the connection for writing only. Danger: gnet polls for reading again once it
// has sent all the bytes that it has buffered for the connection, so a connection that is paused with buffered bytes then resumes
// reading by itself.
func (e *EventLoop) PauseReading(c netio.Conn, closing netio.ClosePolicy) bool {
	events := uint32(0)
	if c.OutboundBuffered() > 0 {
		events |= unix.EPOLLOUT
	}
	if closing == netio.ReportClose {
		events |= unix.EPOLLRDHUP
	}
	return e.setEpollEvents(c, events)
}

// ResumeReading implements netio.EventLoop.
func (e *EventLoop) ResumeReading(c netio.Conn) {
	events := uint32(unix.EPOLLIN | unix.EPOLLPRI)
	if c.OutboundBuffered() > 0 {
		events |= unix.EPOLLOUT
	}
	e.setEpollEvents(c, events)
}

// setEpollEvents changes which events of a connection epoll reports. It returns false if it fails.
func (e *EventLoop) setEpollEvents(c netio.Conn, events uint32) bool {
	fd := c.(gnet.Conn).Fd()
	return e.epollFD >= 0 && unix.EpollCtl(e.epollFD, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Fd: int32(fd), Events: events}) == nil
}

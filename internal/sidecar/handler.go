package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"golang.org/x/sys/unix"

	"hazelwheel/internal/http1"
)

// errShutdown, returned by a task, ends gnet's event loop.
var errShutdown = gneterrors.ErrEngineShutdown

// link is what a connection belongs to.
type link interface {
	opened(c gnet.Conn)
	traffic(data []byte)
	ended(err error)
}

// handler takes gnet's callbacks. All come on the one event loop, but for OnBoot.
type handler struct {
	gnet.BuiltinEventEngine
	s      *Sidecar
	engine gnet.Engine
}

// OnTick is called first when the event loop is there, on a goroutine of its own; it sends for the loop.
func (h *handler) OnTick() (time.Duration, gnet.Action) {
	if h.s.bell == nil {
		h.s.bell = &bell{}
		if err := h.s.bell.hang(h.engine); err != nil {
			h.s.log.Error("the event loop can't be had", "error", err)
			return 0, gnet.Shutdown
		}
	}
	return time.Hour, gnet.None
}

// OnBoot is told of the engine.
func (h *handler) OnBoot(e gnet.Engine) gnet.Action {
	h.engine = e
	return gnet.None
}

// OnOpen takes a connection: one that was dialed brings its link, any other is a client's.
func (h *handler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s := h.s
	s.conns++
	// Danger: a client can be quicker than the bell, and its request would be sent without a loop.
	if s.loop == nil {
		s.loop = c.EventLoop()
		s.enter(s.start)
	}
	l, dialed := c.Context().(link)
	if !dialed {
		client := &clientLink{s: s, openedAt: s.clock.now(), parser: http1.NewRequestParser(httpLimits)}
		client.throng = !s.clientRoom()
		s.clients[client] = struct{}{}
		l = client
		c.SetContext(l)
	}
	action := gnet.None
	s.within(c, func() { l.opened(c) })
	if !dialed && !s.room(0) {
		// Danger: the next accept would fail for want of a descriptor, and gnet would end. Not a byte of a
		// request has been read from this link.
		action = gnet.Close
	}
	return nil, action
}

// OnTraffic hands what has been received to the connection's link.
func (h *handler) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if l, ok := c.Context().(link); ok && err == nil {
		h.s.within(c, func() { l.traffic(data) })
	}
	return gnet.None
}

// OnClose tells the connection's link.
func (h *handler) OnClose(c gnet.Conn, err error) gnet.Action {
	h.s.conns--
	if l, ok := c.Context().(link); ok {
		h.s.enter(func() { l.ended(err) })
	}
	return gnet.None
}

// within runs a callback of a connection; a panic in it costs the connection and nothing more.
func (s *Sidecar) within(c gnet.Conn, f func()) {
	s.enter(func() {
		if s.guard(f) {
			s.closeConn(c)
		}
	})
}

// bell is a pair of sockets whose one end gnet holds. gnet tells its event loop only to connections, and the
// sidecar needs the loop before it has any.
type bell struct{ far int }

// hang gives the near end to gnet.
func (b *bell) hang(e gnet.Engine) error {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	b.far = fds[1]
	f := os.NewFile(uintptr(fds[0]), "bell")
	defer f.Close()
	near, err := net.FileConn(f)
	if err != nil {
		return err
	}
	result, err := e.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), near), b))
	if err != nil {
		return err
	}
	return (<-result).Err
}

func (b *bell) opened(gnet.Conn) {}
func (b *bell) traffic([]byte)   {}
func (b *bell) ended(error)      {}

// claim finds out whether an address can be listened at. Danger: ReusePort lets a second process share the
// port, and each would get a part of the clients.
func claim(address string) error {
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
	defer unix.Close(fd)
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return unix.Bind(fd, sa)
}

// gnetLogger passes gnet's log on. Its warnings tell of events for connections that a callback of the same
// round has closed, which is usual here.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Infof(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

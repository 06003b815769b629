package sockets

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// handler takes gnet's callbacks. All come on the one event loop, but for OnBoot and the first OnTick.
type gnetHandler struct {
	gnet.BuiltinEventEngine
	loop   *EventLoop
	engine gnet.Engine
	waker  *waker
}

// OnTick is called first when the event loop is there, on a goroutine of its own; it sends for the loop.
func (h *gnetHandler) OnTick() (time.Duration, gnet.Action) {
	if h.waker == nil {
		h.waker = &waker{}
		enroll := func(c net.Conn, w *waker) error {
			result, err := h.engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), w))
			if err != nil {
				return err
			}
			return (<-result).Err
		}
		if err := h.waker.connect(enroll); err != nil {
			h.loop.startErr = fmt.Errorf("the event loop can't be had: %w", err)
			return 0, gnet.Shutdown
		}
	}
	return time.Hour, gnet.None
}

// OnBoot is told of the engine.
func (h *gnetHandler) OnBoot(e gnet.Engine) gnet.Action {
	h.engine = e
	return gnet.None
}

// OnOpen takes a connection: one that was dialed brings its context, any other was accepted.
func (h *gnetHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	// Danger: a client can be quicker than the wake-up socket, and its request would be sent without a loop.
	if h.loop.loop == nil {
		h.loop.attach(c)
	}
	if w, own := c.Context().(*waker); own {
		h.loop.waker = w
		return nil, gnet.None
	}
	if !h.loop.handler.Open(c) {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnTraffic hands on what has been received.
func (h *gnetHandler) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if _, own := c.Context().(*waker); own {
		h.loop.runYields()
	} else if err == nil {
		h.loop.handler.Traffic(c, data)
	}
	if h.loop.stopping {
		return gnet.Shutdown
	}
	return gnet.None
}

// errUnread is the end of a connection that was not being read. Whether it was reset or closed, what lay unread is lost.
var errUnreadReset = os.NewSyscallError("read", unix.ECONNRESET)

// OnClose tells of a connection's end. Danger: gnet calls any end of a connection that it is not asked to read io.EOF, also a
// reset, and an answer without a length that was cut would pass for whole. An end that was read comes as an error of the read.
func (h *gnetHandler) OnClose(c gnet.Conn, err error) gnet.Action {
	if err == io.EOF { //nolint:errorlint // the bare value alone is meant
		err = errUnreadReset
	}
	if _, own := c.Context().(*waker); !own {
		h.loop.handler.Closed(c, err)
	} else {
		h.loop.signalDone()
	}
	return gnet.None
}

// waker is a connection of the process with itself whose one end gnet holds. gnet tells its event loop only to connections, and
// the program needs the loop before it has any. Danger: a pair of Unix sockets would be simpler, but there are platforms where
// nothing but TCP and UDP over IPv4 is to be had, and the program would end before it has begun.
type waker struct{ peer net.Conn }

// ring has gnet bring a byte of the near end.
func (w *waker) ring() error {
	if w == nil {
		return errStopped
	}
	_, err := w.peer.Write([]byte{0})
	return err
}

// register gives the near end to gnet.
func (w *waker) connect(enroll func(net.Conn, *waker) error) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	own, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		return err
	}
	for w.peer == nil {
		c, err := l.Accept()
		if err != nil {
			own.Close()
			return err
		}
		if c.RemoteAddr().String() != own.LocalAddr().String() {
			c.Close() // Danger: anybody on the machine may have dialed meanwhile
			continue
		}
		w.peer = c
	}
	return enroll(own, w)
}

// gnetLogger passes gnet's log on. Its warnings tell of events for connections that a callback of the same
// round has closed, which is usual here.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Infof(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

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

// gnetHandler receives gnet's callbacks. All of them are made on the event loop's goroutine, except OnBoot and the first OnTick.
type gnetHandler struct {
	gnet.BuiltinEventEngine
	loop   *EventLoop
	engine gnet.Engine
	waker  *waker
}

// OnTick is first called once the event loop runs, on a separate goroutine. That call connects the waker, whose OnOpen gives access to
// the loop.
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
			h.loop.startErr = fmt.Errorf("start event loop: %w", err)
			return 0, gnet.Shutdown
		}
	}
	return time.Hour, gnet.None
}

// OnBoot stores the engine.
func (h *gnetHandler) OnBoot(e gnet.Engine) gnet.Action {
	h.engine = e
	return gnet.None
}

// OnOpen is called for an accepted connection, for a dialed one, and for the waker's.
func (h *gnetHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	// Danger: a client can connect before the waker does, and its request must not be handled before the loop is attached.
	if h.loop.loop == nil {
		h.loop.attach(c)
	}
	if w, isWaker := c.Context().(*waker); isWaker {
		h.loop.waker = w
		return nil, gnet.None
	}
	if !h.loop.handler.Open(c) {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnTraffic passes received bytes to the handler.
func (h *gnetHandler) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if _, isWaker := c.Context().(*waker); isWaker {
		h.loop.runYields()
	} else if err == nil {
		h.loop.handler.Traffic(c, data)
	}
	if h.loop.stopping {
		return gnet.Shutdown
	}
	return gnet.None
}

// errUnreadReset is reported for a connection that was reset, or closed with unread bytes, while it was not being read.
var errUnreadReset = os.NewSyscallError("read", unix.ECONNRESET)

// OnClose passes the end of a connection to the handler. Danger: gnet passes a plain io.EOF for any end that it detects other than by
// reading, even for a reset. A response that is delimited by the end of its connection would then look complete. The end of the stream
// returned by a read is passed as an error that wraps io.EOF.
func (h *gnetHandler) OnClose(c gnet.Conn, err error) gnet.Action {
	if err == io.EOF { //nolint:errorlint // must not match an error that wraps io.EOF
		err = errUnreadReset
	}
	if _, isWaker := c.Context().(*waker); !isWaker {
		h.loop.handler.Closed(c, err)
	} else {
		h.loop.signalDone()
	}
	return gnet.None
}

// gnetLogger passes gnet's log to slog. gnet warns about events of connections that were closed by a callback of the same poll, which is
// normal here; its warnings are therefore logged at debug level.
type gnetLogger struct{ log *slog.Logger }

// Debugf logs at debug level.
func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Infof logs at debug level.
func (g gnetLogger) Infof(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Warnf logs at debug level.
func (g gnetLogger) Warnf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Errorf logs at error level.
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf logs at error level.
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

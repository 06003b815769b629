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

// gnetHandler receives gnet's callbacks. All come on the event loop's goroutine but OnBoot and the first OnTick.
type gnetHandler struct {
	gnet.BuiltinEventEngine
	loop   *EventLoop
	engine gnet.Engine
	waker  *waker
}

// OnTick is first called once the event loop runs, on a goroutine of its own. It then connects the waker, whose OnOpen gives
// access to the loop.
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

// OnBoot keeps the engine.
func (h *gnetHandler) OnBoot(e gnet.Engine) gnet.Action {
	h.engine = e
	return gnet.None
}

// OnOpen is called for an accepted connection, or a dialed one with its context.
func (h *gnetHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	// Danger: a client can connect before the waker, and its request would be handled without a loop.
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

// OnTraffic passes received bytes to the handler.
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

// errUnreadReset is reported for a connection that ended while it was not read: reset or closed, its unread bytes are lost.
var errUnreadReset = os.NewSyscallError("read", unix.ECONNRESET)

// OnClose passes the end of a connection to the handler. Danger: gnet passes io.EOF for any end that it notices otherwise than
// by reading, also for a reset; a response that is delimited by the end of its connection would be taken as complete. The end
// that a read returns comes as an error that wraps io.EOF.
func (h *gnetHandler) OnClose(c gnet.Conn, err error) gnet.Action {
	if err == io.EOF { //nolint:errorlint // only the unwrapped value is meant
		err = errUnreadReset
	}
	if _, own := c.Context().(*waker); !own {
		h.loop.handler.Closed(c, err)
	} else {
		h.loop.signalDone()
	}
	return gnet.None
}

// gnetLogger passes gnet's log to slog. gnet warns of events for connections that a callback of the same poll has closed, which
// is normal here; so its warnings are logged at debug level.
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

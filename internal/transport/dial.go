package transport

import (
	"net"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Dialer returns a dialer that notices peers behind a cut: what is not acknowledged within ackWithin ends the connection.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: connectWithin, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackWithin.Milliseconds()))
		})
		return errs.Combine(err, failed)
	}}
}

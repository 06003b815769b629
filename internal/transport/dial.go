package transport

import (
	"net"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Dialer returns a dialer that notices peers behind a cut: what is not acknowledged within ackWithin ends the connection.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errs.Combine(err, optionErr)
	}}
}

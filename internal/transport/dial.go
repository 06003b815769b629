package transport

import (
	"net"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer whose connections fail quickly in a network partition: an attempt to connect after connectTimeout, an open
// connection when sent bytes have not been acknowledged for ackTimeout. Keep-alive probes are off.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errs.Combine(err, optionErr)
	}}
}

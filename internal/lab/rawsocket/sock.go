// Package rawsocket opens raw sockets for the laboratory's clients, from a source address of their choice.
package rawsocket

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// Dial begins to open a socket to an address, from another one if that is valid. The socket does not block; that it is up
// shows as writable.
func Dial(to netip.AddrPort, from netip.Addr) (fd int, err error) {
	return open(to, from, unix.SOCK_NONBLOCK, nil)
}

// DialBlocking opens a socket that blocks. prepare, if any, may set options before it connects.
func DialBlocking(to netip.AddrPort, from netip.Addr, prepare func(fd int)) (fd int, err error) {
	return open(to, from, 0, prepare)
}

func open(to netip.AddrPort, from netip.Addr, flags int, prepare func(fd int)) (fd int, err error) {
	family := unix.AF_INET
	if to.Addr().Is6() {
		family = unix.AF_INET6
	}
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|flags, 0)
	if err != nil {
		return -1, err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if prepare != nil {
		prepare(fd)
	}
	if from.IsValid() {
		// Danger: without this the port is chosen at the bind, for all targets at once, and ports run out early.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		err = unix.Bind(fd, sockaddr(netip.AddrPortFrom(from, 0)))
	}
	if err == nil {
		err = unix.Connect(fd, sockaddr(to))
	}
	if err != nil && err != unix.EINPROGRESS {
		_ = unix.Close(fd) // fails only on a descriptor that is not open
		return -1, err
	}
	return fd, nil
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is6() {
		return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
	}
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
}

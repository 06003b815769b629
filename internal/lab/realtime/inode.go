package realtime

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strconv"

	"golang.org/x/sys/unix"
)

// Of the kernel's interface to ask for a socket (sock_diag(7)).
const (
	diagByFamily = 20
	headerSize   = 16
	requestSize  = headerSize + 56
	inodeAt      = headerSize + 68
	anyState     = ^uint32(0)
	noCookie     = ^uint32(0)
)

// inodeOf asks the kernel for the inode of the TCP socket that speaks from one address to another, as /proc names it; empty
// if there is none. Both are of IPv4. Danger: to look through /proc/net/tcp takes as long as there are sockets, and a
// library that filters by ports alone finds others, which spoke from the same port to elsewhere.
func inodeOf(from, to netip.AddrPort) (string, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return "", err
	}
	defer func() { _ = unix.Close(fd) }() // fails only on a descriptor that is not open
	b := make([]byte, requestSize)
	native, wire := binary.NativeEndian, binary.BigEndian
	native.PutUint32(b, requestSize)
	native.PutUint16(b[4:], diagByFamily)
	native.PutUint16(b[6:], unix.NLM_F_REQUEST)
	r := b[headerSize:]
	r[0], r[1] = unix.AF_INET, unix.IPPROTO_TCP
	native.PutUint32(r[4:], anyState)
	wire.PutUint16(r[8:], from.Port())
	wire.PutUint16(r[10:], to.Port())
	source, target := from.Addr().As4(), to.Addr().As4()
	copy(r[12:], source[:])
	copy(r[28:], target[:])
	native.PutUint32(r[48:], noCookie)
	native.PutUint32(r[52:], noCookie)
	if err := unix.Sendto(fd, b, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return "", err
	}
	answer := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return "", err
	}
	if n < headerSize {
		return "", fmt.Errorf("an answer of %d bytes", n)
	}
	if kind := native.Uint16(answer[4:]); kind != diagByFamily || n < inodeAt+4 {
		return "", nil // an error: there is no such socket
	}
	inode := native.Uint32(answer[inodeAt:])
	if inode == 0 {
		return "", nil // what is left of one that has gone
	}
	return strconv.FormatUint(uint64(inode), 10), nil
}

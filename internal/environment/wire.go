package environment

import (
	"net"
	"net/netip"
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// Header fields of the deployment.
const (
	fieldID           = "Request-Id"
	fieldTimeout      = "Request-Timeout"
	fieldKey          = "Idempotency-Key"
	fieldOrganisation = "Organisation"
	fieldRetry        = "Client-Retry"
	fieldNotStarted   = "Not-Started"
	fieldRetryAfter   = "Retry-After"
	fieldLoad         = "Server-Load"
)

var messageLimits = http1.Limits{HeadBytes: 16 << 10, BufferedBodyBytes: 64 << 10}

// sendTimer is a connection of a network that knows when the peer sent what has arrived. On other networks the time of
// arrival stands for it.
type sendTimer interface {
	// PeerWrote returns when the peer wrote last, in Unix time; PeerEnded, when it closed the connection. 0: not yet.
	PeerWrote() float64
	PeerEnded() float64
}

// sentAt returns when what arrives now was sent.
func sentAt(c netio.Conn, now float64) float64 {
	if r, ok := c.(sendTimer); ok {
		if at := r.PeerWrote(); at > 0 {
			return min(at, now)
		}
	}
	return now
}

// endedAt returns when the peer closed a connection whose close arrives now.
func endedAt(c netio.Conn, now float64) float64 {
	if r, ok := c.(sendTimer); ok {
		if at := r.PeerEnded(); at > 0 {
			return min(at, now)
		}
	}
	return now
}

// readNotifier is a connection of a network that knows what the peer's process has read from it.
type readNotifier interface {
	// PeerRead reports whether the peer had read everything when it closed the connection or its own direction of it.
	PeerRead() bool
}

// readByPeer reports whether the peer is known to have read all that was written before it closed the connection.
func readByPeer(c netio.Conn) bool {
	a, ok := c.(readNotifier)
	return ok && a.PeerRead()
}

// sidecarAddresses finds sidecars by the address of their connections.
type sidecarAddresses []netip.Addr

// newSidecarAddresses returns the addresses of a day's sidecars.
func newSidecarAddresses(day *Day) sidecarAddresses {
	var all sidecarAddresses
	for _, sidecar := range day.Sidecars {
		all = append(all, netip.MustParseAddr(sidecar.IP))
	}
	return all
}

// number returns the number of the sidecar at an address; -1: there is none.
func (n sidecarAddresses) number(from net.Addr) int32 {
	if tcp, ok := from.(*net.TCPAddr); ok {
		ip := tcp.AddrPort().Addr().Unmap()
		for i, known := range n {
			if known == ip {
				return int32(i)
			}
		}
	}
	return -1
}

const hexDigits = "0123456789abcdef"

// appendID appends a request's id in its form on the wire: sixteen hexadecimal digits.
func appendID(dst []byte, id uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, hexDigits[id>>shift&15])
	}
	return dst
}

// parseID parses an id in the form of appendID; 0: it isn't one.
func parseID(text string) uint64 {
	if len(text) != 16 {
		return 0
	}
	id := uint64(0)
	for i := range len(text) {
		digit := strings.IndexByte(hexDigits, text[i])
		if digit < 0 {
			return 0
		}
		id = id<<4 | uint64(digit)
	}
	return id
}

// splitTarget returns the first segment of a request's target, and the target without its query.
func splitTarget(target string) (first, whole string) {
	whole, _, _ = strings.Cut(target, "?")
	first, _, _ = strings.Cut(strings.TrimPrefix(whole, "/"), "/")
	return first, whole
}

package environment

import (
	"net/netip"

	"hazelwheel/internal/thrift"
)

// Protocol is the protocol between applications, sidecars and servers.
type Protocol string

// The protocols. Apart from it a day is the same with each.
const (
	HTTP          Protocol = "http"
	ThriftBinary  Protocol = "binary"
	ThriftCompact Protocol = "compact"
)

// Protocols are all protocols.
var Protocols = []Protocol{HTTP, ThriftBinary, ThriftCompact}

// IsThrift reports whether it is an encoding of Thrift; the empty Protocol is HTTP.
func (s Protocol) IsThrift() bool { return s == ThriftBinary || s == ThriftCompact }

// encoding returns the encoding of Thrift.
func (s Protocol) encoding() thrift.Encoding {
	if s == ThriftCompact {
		return thrift.Compact
	}
	return thrift.Binary
}

// thriftPort is the port on which sidecars listen for Thrift.
const thriftPort = 9090

// ThriftAddress returns the Thrift address of a sidecar that listens for HTTP at an address.
func ThriftAddress(address string) string {
	return netip.AddrPortFrom(netip.MustParseAddrPort(address).Addr(), thriftPort).String()
}

// ThriftProbe is the method by which sidecars check the health of servers.
const ThriftProbe = "status"

// The fields of a call's arguments; the method's name is that of the class. A result has the answer's body in field 0.
const (
	argID      = 1
	argKey     = 2
	argTimeout = 3 // microseconds
	argRetry   = 4
	argBody    = 5
)

// The paths of these fields, as settings name them.
const (
	ThriftID      = "1"
	ThriftKey     = "2"
	ThriftTimeout = "3"
	ThriftRetry   = "4"
)

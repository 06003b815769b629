package environment

import (
	"net/netip"

	"hazelwheel/internal/thrift"
)

// Speech is what applications, and through their sidecars boxes, speak.
type Protocol string

// The speeches. What a day means does not depend on its speech.
const (
	HTTP          Protocol = "http"
	ThriftBinary  Protocol = "binary"
	ThriftCompact Protocol = "compact"
)

// Speeches are all there are.
var Protocols = []Protocol{HTTP, ThriftBinary, ThriftCompact}

// Thrift tells whether it is Thrift; a day that names no speech has HTTP.
func (s Protocol) IsThrift() bool { return s == ThriftBinary || s == ThriftCompact }

func (s Protocol) encoding() thrift.Encoding {
	if s == ThriftCompact {
		return thrift.Compact
	}
	return thrift.Binary
}

// thriftPort is where sidecars listen for Thrift.
const thriftPort = 9090

// ThriftAddress returns where a sidecar listens for Thrift that listens for HTTP at an address.
func ThriftAddress(address string) string {
	return netip.AddrPortFrom(netip.MustParseAddrPort(address).Addr(), thriftPort).String()
}

// ThriftProbe is the method by which sidecars probe boxes.
const ThriftProbe = "status"

// The fields of a call's arguments; the method's name is that of the class. A result has the answer's body in field 0.
const (
	argID      = 1
	argKey     = 2
	argTimeout = 3 // microseconds
	argRetry   = 4
	argBody    = 5
)

// The paths of the same.
const (
	ThriftID      = "1"
	ThriftKey     = "2"
	ThriftTimeout = "3"
	ThriftRetry   = "4"
)

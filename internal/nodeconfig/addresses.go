package nodeconfig

import (
	"net/netip"
)

// InternalPort is what listens on one of the internal ports.
type InternalPort int

// The internal ports in their order from the first of InternalPortRange.
const (
	ControlPort InternalPort = iota
	AgentPort
	FeedPort
	lastPort = FeedPort
)

// InternalAddress returns the address of an internal service on the machine with this IP.
func (s *Settings) InternalAddress(ip string, service InternalPort) string {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(s.InternalPortRange[0]+int(service))).String()
}

// loopback is where processes of one machine meet.
const loopback = "127.0.0.1"

// FeedAddress returns where an agent feeds its proxy. Where the machine's own address is a loopback one, several machines stand on one
// host and each has its own feed.
func (s *Settings) FeedAddress() string {
	if netip.MustParseAddr(s.IP).IsLoopback() {
		return s.InternalAddress(s.IP, FeedPort)
	}
	return s.InternalAddress(loopback, FeedPort)
}

// SeedAddresses returns the internal addresses of the control processes that the seeds name.
func (s *Settings) SeedAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, s.InternalAddress(netip.MustParseAddrPort(seed).Addr().String(), ControlPort))
	}
	return addresses
}

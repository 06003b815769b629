package nodeconfig

import "net/netip"

// InternalPort is the index of a port in Settings.InternalPortRange.
type InternalPort int

// The internal ports.
const (
	ControlPort InternalPort = iota // peers of a control process
	AgentPort                       // peers of an agent or gateway
	FeedPort                        // an agent's connection to its proxy
	lastPort    = FeedPort
)

// loopback is the address on which processes of one machine connect.
const loopback = "127.0.0.1"

// InternalAddress returns the address, IP:PORT, of an internal port on the machine with an IP address. It panics if that is
// not an IP address; the IP addresses of validated settings are.
func (s *Settings) InternalAddress(ip string, port InternalPort) string {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(s.InternalPortRange[0]+int(port))).String()
}

// FeedAddress returns the address on which an agent and its proxy connect. If the machine's own address is a loopback one,
// several machines share one host, and each needs an address of its own.
func (s *Settings) FeedAddress() string {
	if netip.MustParseAddr(s.IP).IsLoopback() {
		return s.InternalAddress(s.IP, FeedPort)
	}
	return s.InternalAddress(loopback, FeedPort)
}

// SeedAddresses returns the internal addresses of the control processes that Seeds names.
func (s *Settings) SeedAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, s.InternalAddress(netip.MustParseAddrPort(seed).Addr().String(), ControlPort))
	}
	return addresses
}

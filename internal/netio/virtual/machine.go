package virtual

import (
	"fmt"
	"net"
	"net/netip"
)

// Machine is a host on the network, with an IP address, processes and sockets.
type Machine struct {
	network                  *Network
	ip                       netip.Addr
	ipText                   string
	number                   int
	down                     bool
	listeners                map[uint16]*listener // by port, for lookups; never iterated
	processes                []*Process
	lastDialPort             uint16  // the local port of the last dial
	delayedShare             float64 // fraction of the handshakes that are delayed
	maxHandshakeDelaySeconds float64 // maximum delay of these
}

// Machine returns the machine with an address, and creates it if it does not exist.
func (n *Network) Machine(ip string) *Machine {
	if m := n.byIP[ip]; m != nil {
		return m
	}
	m := &Machine{network: n, ip: netip.MustParseAddr(ip), ipText: ip, number: len(n.machines), listeners: map[uint16]*listener{}, lastDialPort: 32767}
	n.machines, n.byIP[ip] = append(n.machines, m), m
	for i := range n.paths {
		n.paths[i] = append(n.paths[i], n.Path)
	}
	row := make([]Path, len(n.machines))
	for i := range row {
		row[i] = n.Path
	}
	row[m.number] = n.Loopback
	n.paths = append(n.paths, row)
	return m
}

// IP returns the machine's address.
func (m *Machine) IP() string { return m.ipText }

// IsDown reports whether the machine is powered off.
func (m *Machine) IsDown() bool { return m.down }

// SetHandshakeDelay delays a fraction (share) of the handshakes of connections to the machine by up to maxSeconds. A share of 0 ends the
// delays.
func (m *Machine) SetHandshakeDelay(share, maxSeconds float64) {
	m.delayedShare, m.maxHandshakeDelaySeconds = share, maxSeconds
}

// handshakeDelay returns the random delay of one handshake. It draws random numbers only while delays are set.
func (m *Machine) handshakeDelay() float64 {
	if m.delayedShare == 0 || m.network.rand.Float64() >= m.delayedShare {
		return 0
	}
	return m.maxHandshakeDelaySeconds * m.network.rand.Float64()
}

// PowerOff stops the machine without notifying its peers, as a power failure does: its processes end, and connections to it stay open at
// the other end. Process.Kill, in contrast, resets the connections.
func (m *Machine) PowerOff() {
	m.down = true
	for _, p := range m.processes {
		p.terminate(false)
	}
	m.processes = nil
	m.network.trace(Event{Kind: StateChanged, Process: m.ipText, Peer: "vanished"})
}

// PowerOn restarts a machine that was powered off, without any process. Segments for its former connections are answered with a reset.
func (m *Machine) PowerOn() {
	m.down = false
	m.network.trace(Event{Kind: StateChanged, Process: m.ipText, Peer: "returned"})
}

// Process returns a new process on the machine, which Run starts.
func (m *Machine) Process(options ProcessOptions) *Process {
	options.setDefaults()
	m.network.processCount++
	return &Process{network: m.network, machine: m, options: options, number: m.network.processCount}
}

// nextPort returns the next ephemeral port for a dial.
func (m *Machine) nextPort() uint16 {
	for {
		m.lastDialPort++
		if m.lastDialPort < 32768 {
			m.lastDialPort = 32768
		}
		if m.listeners[m.lastDialPort] == nil {
			return m.lastDialPort
		}
	}
}

// parseAddress parses an address and port. The machine is nil if none has the address.
func (n *Network) parseAddress(address string) (*Machine, netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, a, fmt.Errorf("dial %s: %w", address, err)
	}
	return n.byIP[a.Addr().String()], a, nil
}

func tcpAddr(a netip.AddrPort) net.Addr { return net.TCPAddrFromAddrPort(a) }

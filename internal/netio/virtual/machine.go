package virtual

import (
	"fmt"
	"net"
	"net/netip"
)

// Machine has an address, processes and sockets.
type Machine struct {
	network                  *Network
	ip                       netip.Addr
	ipText                   string
	number                   int
	down                     bool
	listeners                map[uint16]*listener // looked up, never walked
	processes                []*Process
	lastDialPort             uint16  // that was given to a dial last
	delayedShare             float64 // of the connections that come up late
	maxHandshakeDelaySeconds float64 // by so much at most
}

// Machine returns the machine of an address, a new one where there is none.
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

// Down tells whether the machine has vanished.
func (m *Machine) IsDown() bool { return m.down }

// LateConnects has a share of the connections that are dialed to the machine come up late, by up to so many seconds; a share of 0 ends
// that.
func (m *Machine) SetHandshakeDelay(share, mostS float64) {
	m.delayedShare, m.maxHandshakeDelaySeconds = share, mostS
}

// late returns by how much a connection that is dialed now comes up late.
func (m *Machine) handshakeDelay() float64 {
	if m.delayedShare == 0 || m.network.rand.Float64() >= m.delayedShare {
		return 0
	}
	return m.maxHandshakeDelaySeconds * m.network.rand.Float64()
}

// Vanish takes the machine away without a word, as when its power fails: its processes are gone, and who is connected
// to it is not told. Danger: this is no Kill; peers keep connections that are open on their side alone.
func (m *Machine) PowerOff() {
	m.down = true
	for _, p := range m.processes {
		p.terminate(false)
	}
	m.processes = nil
	m.network.trace(Event{Kind: StateChanged, Process: m.ipText, Peer: "vanished"})
}

// Return brings a machine back that has vanished, with no process. What is still sent to its former connections is
// answered by a reset.
func (m *Machine) PowerOn() {
	m.down = false
	m.network.trace(Event{Kind: StateChanged, Process: m.ipText, Peer: "returned"})
}

// Process returns a process that has not begun.
func (m *Machine) Process(o ProcessOptions) *Process {
	o.setDefaults()
	m.network.processCount++
	return &Process{network: m.network, machine: m, options: o, number: m.network.processCount}
}

// nextPort returns a port for a dial.
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

// parse reads an address and port, which may be those of no machine.
func (n *Network) parseAddress(address string) (*Machine, netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, a, fmt.Errorf("dial %s: %w", address, err)
	}
	return n.byIP[a.Addr().String()], a, nil
}

func tcpAddr(a netip.AddrPort) net.Addr { return net.TCPAddrFromAddrPort(a) }

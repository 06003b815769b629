package virtual

import (
	"fmt"
	"math"
	"net"
	"net/netip"
)

func bits(f float64) uint64 { return math.Float64bits(f) }

// Path is how packets travel from one machine to another.
type Path struct {
	LatencySeconds  float64
	JitterSeconds   float64 // up to so much more, drawn for each packet; order within a connection is kept all the same
	LossProbability float64 // how many are lost, from 0 to 1
	BytesPerSecond  float64 // bytes a second of each connection; 0: as fast as they come
}

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

// SetPath says how packets travel from one machine to another. The way back is another path.
func (n *Network) SetPath(from, to *Machine, p Path) { n.paths[from.number][to.number] = p }

// PathOf returns how packets travel from one machine to another.
func (n *Network) PathOf(from, to *Machine) Path { return n.paths[from.number][to.number] }

// Cut loses all packets from one machine to another from now on, or no longer. What TCP has not got across by then
// it sends again, with longer and longer waits.
func (n *Network) SetPartitioned(from, to *Machine, cut bool) {
	p := &n.paths[from.number][to.number]
	if p.LossProbability = 0; cut {
		p.LossProbability = 1
	}
}

// Pace has each connection from one machine to another take so many bytes a second; 0: as many as are sent.
func (n *Network) SetRate(from, to *Machine, perS float64) {
	n.paths[from.number][to.number].BytesPerSecond = perS
}

// travel returns when a packet that leaves now, or at a later time, arrives.
func (n *Network) arrivalTime(from, to *Machine, at float64) float64 {
	p := &n.paths[from.number][to.number]
	return max(at, n.now) + p.LatencySeconds + p.JitterSeconds*n.rand.Float64()
}

// passes tells whether a packet that would arrive now does.
func (n *Network) delivers(from, to *Machine) bool {
	if to.down {
		return false
	}
	loss := n.paths[from.number][to.number].LossProbability
	return loss == 0 || loss < 1 && n.rand.Float64() >= loss
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

// listener is a listening socket.
type listener struct {
	owner            *Process
	backlog          int
	queue            []*Conn // connections that are up and not accepted
	descriptorWanted bool    // the last accept found no descriptor
	closed           bool
	port             uint16
	addedLater       bool // it was opened by Listen
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

func (n *Network) trace(e Event) {
	if n.Trace != nil {
		if e.At == 0 {
			e.At = n.now
		}
		n.Trace(e)
	}
}

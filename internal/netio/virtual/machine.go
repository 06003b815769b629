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
	w         *Network
	ip        netip.Addr
	text      string
	number    int
	down      bool
	listeners map[uint16]*listener // looked up, never walked
	processes []*Process
	port      uint16  // that was given to a dial last
	lateShare float64 // of the connections that come up late
	lateS     float64 // by so much at most
}

// Machine returns the machine of an address, a new one where there is none.
func (w *Network) Machine(ip string) *Machine {
	if m := w.byIP[ip]; m != nil {
		return m
	}
	m := &Machine{w: w, ip: netip.MustParseAddr(ip), text: ip, number: len(w.machines), listeners: map[uint16]*listener{}, port: 32767}
	w.machines, w.byIP[ip] = append(w.machines, m), m
	for i := range w.paths {
		w.paths[i] = append(w.paths[i], w.Path)
	}
	row := make([]Path, len(w.machines))
	for i := range row {
		row[i] = w.Path
	}
	row[m.number] = w.Loopback
	w.paths = append(w.paths, row)
	return m
}

// IP returns the machine's address.
func (m *Machine) IP() string { return m.text }

// Down tells whether the machine has vanished.
func (m *Machine) IsDown() bool { return m.down }

// LateConnects has a share of the connections that are dialed to the machine come up late, by up to so many seconds; a share of 0 ends
// that.
func (m *Machine) SetHandshakeDelay(share, mostS float64) { m.lateShare, m.lateS = share, mostS }

// late returns by how much a connection that is dialed now comes up late.
func (m *Machine) late() float64 {
	if m.lateShare == 0 || m.w.rand.Float64() >= m.lateShare {
		return 0
	}
	return m.lateS * m.w.rand.Float64()
}

// SetPath says how packets travel from one machine to another. The way back is another path.
func (w *Network) SetPath(from, to *Machine, p Path) { w.paths[from.number][to.number] = p }

// PathOf returns how packets travel from one machine to another.
func (w *Network) PathOf(from, to *Machine) Path { return w.paths[from.number][to.number] }

// Cut loses all packets from one machine to another from now on, or no longer. What TCP has not got across by then
// it sends again, with longer and longer waits.
func (w *Network) SetPartitioned(from, to *Machine, cut bool) {
	p := &w.paths[from.number][to.number]
	if p.LossProbability = 0; cut {
		p.LossProbability = 1
	}
}

// Pace has each connection from one machine to another take so many bytes a second; 0: as many as are sent.
func (w *Network) SetRate(from, to *Machine, perS float64) {
	w.paths[from.number][to.number].BytesPerSecond = perS
}

// travel returns when a packet that leaves now, or at a later time, arrives.
func (w *Network) travel(from, to *Machine, at float64) float64 {
	p := &w.paths[from.number][to.number]
	return max(at, w.now) + p.LatencySeconds + p.JitterSeconds*w.rand.Float64()
}

// passes tells whether a packet that would arrive now does.
func (w *Network) passes(from, to *Machine) bool {
	if to.down {
		return false
	}
	loss := w.paths[from.number][to.number].LossProbability
	return loss == 0 || loss < 1 && w.rand.Float64() >= loss
}

// Vanish takes the machine away without a word, as when its power fails: its processes are gone, and who is connected
// to it is not told. Danger: this is no Kill; peers keep connections that are open on their side alone.
func (m *Machine) PowerOff() {
	m.down = true
	for _, p := range m.processes {
		p.die(false)
	}
	m.processes = nil
	m.w.trace(Event{Kind: StateChanged, Process: m.text, Peer: "vanished"})
}

// Return brings a machine back that has vanished, with no process. What is still sent to its former connections is
// answered by a reset.
func (m *Machine) PowerOn() {
	m.down = false
	m.w.trace(Event{Kind: StateChanged, Process: m.text, Peer: "returned"})
}

// Process returns a process that has not begun.
func (m *Machine) Process(o ProcessOptions) *Process {
	o.fill()
	m.w.processes++
	return &Process{w: m.w, machine: m, opt: o, number: m.w.processes}
}

// listener is a listening socket.
type listener struct {
	owner   *Process
	backlog int
	queue   []*Conn // connections that are up and not accepted
	starved bool    // the last accept found no descriptor
	closed  bool
	port    uint16
	late    bool // it was opened by Listen
}

// nextPort returns a port for a dial.
func (m *Machine) nextPort() uint16 {
	for {
		m.port++
		if m.port < 32768 {
			m.port = 32768
		}
		if m.listeners[m.port] == nil {
			return m.port
		}
	}
}

// parse reads an address and port, which may be those of no machine.
func (w *Network) parse(address string) (*Machine, netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, a, fmt.Errorf("dial %s: %w", address, err)
	}
	return w.byIP[a.Addr().String()], a, nil
}

func tcpAddr(a netip.AddrPort) net.Addr { return net.TCPAddrFromAddrPort(a) }

func (w *Network) trace(e Event) {
	if w.Trace != nil {
		if e.At == 0 {
			e.At = w.now
		}
		w.Trace(e)
	}
}

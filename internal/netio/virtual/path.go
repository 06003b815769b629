package virtual

// Path is how packets travel from one machine to another.
type Path struct {
	LatencySeconds  float64
	JitterSeconds   float64 // up to so much more, drawn for each packet; order within a connection is kept all the same
	LossProbability float64 // how many are lost, from 0 to 1
	BytesPerSecond  float64 // bytes a second of each connection; 0: as fast as they come
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

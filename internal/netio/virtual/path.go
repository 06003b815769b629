package virtual

// Path describes how packets travel from one machine to another.
type Path struct {
	LatencySeconds  float64
	JitterSeconds   float64 // upper bound of the random delay added to each packet; a connection's packets stay in order
	LossProbability float64 // from 0 to 1
	BytesPerSecond  float64 // of each connection; 0: unlimited
}

// SetPath sets how packets travel from one machine to another. The opposite direction has a path of its own.
func (n *Network) SetPath(from, to *Machine, p Path) { n.paths[from.number][to.number] = p }

// PathOf returns how packets travel from one machine to another.
func (n *Network) PathOf(from, to *Machine) Path { return n.paths[from.number][to.number] }

// SetPartitioned loses all packets from one machine to another, or none any longer. TCP retransmits with backoff what was lost.
func (n *Network) SetPartitioned(from, to *Machine, partitioned bool) {
	p := &n.paths[from.number][to.number]
	if p.LossProbability = 0; partitioned {
		p.LossProbability = 1
	}
}

// SetRate limits each connection from one machine to another to so many bytes a second; 0: unlimited.
func (n *Network) SetRate(from, to *Machine, bytesPerSecond float64) {
	n.paths[from.number][to.number].BytesPerSecond = bytesPerSecond
}

// arrivalTime returns when a packet that leaves now, or at a later time, arrives. It draws the jitter from the seed.
func (n *Network) arrivalTime(from, to *Machine, at float64) float64 {
	p := &n.paths[from.number][to.number]
	return max(at, n.now) + p.LatencySeconds + p.JitterSeconds*n.rand.Float64()
}

// delivers reports whether a packet that would arrive now gets through. It draws from the seed on a lossy path.
func (n *Network) delivers(from, to *Machine) bool {
	if to.down {
		return false
	}
	loss := n.paths[from.number][to.number].LossProbability
	return loss == 0 || loss < 1 && n.rand.Float64() >= loss
}

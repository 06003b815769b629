package virtual

// Path describes how packets travel from one machine to another.
type Path struct {
	LatencySeconds  float64
	JitterSeconds   float64 // maximum of the random delay added to each packet; the packets of a connection stay in order
	LossProbability float64 // from 0 to 1
	BytesPerSecond  float64 // of each connection; 0: unlimited
}

// SetPath sets how packets travel from one machine to another. The opposite direction has a path of its own.
func (n *Network) SetPath(from, to *Machine, p Path) { n.paths[from.number][to.number] = p }

// PathOf returns how packets travel from one machine to another.
func (n *Network) PathOf(from, to *Machine) Path { return n.paths[from.number][to.number] }

// SetPartitioned sets whether all packets from one machine to another are lost, or none. Lost bytes are retransmitted with backoff.
func (n *Network) SetPartitioned(from, to *Machine, partitioned bool) {
	p := &n.paths[from.number][to.number]
	if p.LossProbability = 0; partitioned {
		p.LossProbability = 1
	}
}

// SetRate limits the rate of each connection from one machine to another; 0 means unlimited.
func (n *Network) SetRate(from, to *Machine, bytesPerSecond float64) {
	n.paths[from.number][to.number].BytesPerSecond = bytesPerSecond
}

// arrivalTime returns when a packet arrives that is sent at a time, or now if that has passed. The jitter is random.
func (n *Network) arrivalTime(from, to *Machine, at float64) float64 {
	p := &n.paths[from.number][to.number]
	return max(at, n.now) + p.LatencySeconds + p.JitterSeconds*n.rand.Float64()
}

// delivers reports whether a packet that would arrive now is delivered. On a lossy path this is random.
func (n *Network) delivers(from, to *Machine) bool {
	if to.down {
		return false
	}
	loss := n.paths[from.number][to.number].LossProbability
	return loss == 0 || loss < 1 && n.rand.Float64() >= loss
}

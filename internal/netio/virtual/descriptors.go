package virtual

// Descriptors returns the current and the peak number of descriptors that the process has in use.
func (p *Process) Descriptors() (current, peak int) { return p.descriptors, p.peakDescriptors }

// DescriptorFailures returns how often the process needed a descriptor and none was free.
func (p *Process) DescriptorFailures() int { return p.descriptorFailures }

// acquireDescriptor takes one of the process's descriptors. It returns false if none is free.
func (p *Process) acquireDescriptor() bool {
	if p.descriptors >= p.options.MaxDescriptors {
		p.descriptorFailures++
		p.network.trace(Event{At: p.networkTime(), Kind: DescriptorsExhausted, Process: p.options.Name})
		return false
	}
	p.descriptors++
	p.peakDescriptors = max(p.peakDescriptors, p.descriptors)
	return true
}

// releaseDescriptor frees a descriptor, and makes listeners that waited for one accept again.
func (p *Process) releaseDescriptor() {
	p.descriptors--
	for _, l := range p.listeners {
		if l.descriptorWanted {
			l.descriptorWanted = false
			for range l.queue {
				p.ready = append(p.ready, readyItem{listener: l})
			}
			p.scheduleTurn()
		}
	}
}

// addConn adds a connection whose descriptor has been acquired.
func (p *Process) addConn(c *Conn) {
	c.hasDescriptor, c.index = true, len(p.conns)
	p.conns = append(p.conns, c)
}

// removeConn removes a connection and releases its descriptor. It has no effect on a closed connection.
func (p *Process) removeConn(c *Conn) {
	if !c.hasDescriptor {
		return
	}
	c.hasDescriptor = false
	last := len(p.conns) - 1
	p.conns[c.index] = p.conns[last]
	p.conns[c.index].index = c.index
	p.conns[last] = nil
	p.conns = p.conns[:last]
	p.releaseDescriptor()
}

package virtual

// Descriptors returns how many the process holds, and the most that it has held.
func (p *Process) Descriptors() (now, most int) { return p.descriptors, p.peakDescriptors }

// Denied returns how many times the process has found no descriptor.
func (p *Process) DescriptorFailures() int { return p.descriptorFailures }

// take takes a descriptor; false: there is none.
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

// release gives a descriptor back, for which a connection may wait.
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

// hold notes a connection's descriptor, which has been taken.
func (p *Process) addConn(c *Conn) {
	c.hasDescriptor, c.index = true, len(p.conns)
	p.conns = append(p.conns, c)
}

// drop gives a connection's descriptor back.
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

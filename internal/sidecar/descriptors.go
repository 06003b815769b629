package sidecar

import "hazelwheel/internal/netio"

// descriptorBudget counts the descriptors that connections take, and those that are kept for what is no connection of the sidecar's.
type descriptorBudget struct {
	open     int // connections that the event loop holds
	dialing  int // that dials may hold, dialDescriptors each
	reserved int // for features with sockets or files of their own
}

// inUse returns how many descriptors connections hold, or may come to hold.
func (d *descriptorBudget) inUse() int { return d.open + d.dialing }

// makeRoom closes the idle backend connections that have rested longest until there is room for n descriptors, and tells
// whether there is.
func (s *Sidecar) freeDescriptors(n int) bool {
	for !s.hasDescriptors(n) {
		oldest := s.backends.longestIdle()
		if oldest == nil {
			return false
		}
		oldest.close()
	}
	return true
}

// dialDescriptors is what a dial may hold: the loop duplicates the descriptor before the dialed one is closed.
const dialDescriptors = 2

// connect opens a connection. It comes up as a call of l.opened, or else failed is called.
func (s *Sidecar) connect(address string, deadline float64, handler connHandler, failed func(error)) func() {
	s.descriptors.dialing += dialDescriptors
	return s.net.Dial(address, deadline, handler, func(err error) {
		s.runCallback(func() {
			if s.descriptors.dialing -= dialDescriptors; err != nil {
				failed(err)
			}
			if len(s.backends.waiting) > 0 {
				s.pushEvent(func(float64) { s.dialForWaiters() })
			}
		})
	})
}

// ShareLimits has the sidecar live by a part of its descriptors and memory while it has neighbours.
func (s *Sidecar) ShareLimits(neighbours int) {
	s.processes = neighbours + 1
	s.log.Info("living by the limits", "processes", s.processes)
	s.applyLimits()
}

// obeyLimits passes on what the limits say.
func (s *Sidecar) applyLimits() {
	if s.OnLimitsChange != nil {
		limits := s.cfg.Limits
		limits.MemoryMB /= s.processes
		s.OnLimitsChange(limits)
	}
}

// ReserveDescriptors keeps descriptors for what is no link of the sidecar's. It comes before Start.
func (s *Sidecar) ReserveDescriptors(descriptors int) { s.descriptors.reserved += descriptors }

// hasRoom tells whether n more descriptors can be held.
func (s *Sidecar) hasDescriptors(n int) bool {
	return s.descriptors.inUse()+n <= s.maxConns()
}

// mostLinks is how many descriptors links may hold.
func (s *Sidecar) maxConns() int {
	return s.cfg.Limits.Sockets/s.processes - baseDescriptors - s.descriptors.reserved
}

// closeConn closes a connection at once; nil is none.
func (s *Sidecar) closeConn(c netio.Conn) {
	if c != nil {
		s.net.Close(c)
	}
}

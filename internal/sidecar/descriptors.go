package sidecar

import "hazelwheel/internal/netio"

// descriptorBudget counts the descriptors that connections use, and those that are reserved for everything else.
type descriptorBudget struct {
	open     int // connections that the event loop holds
	dialing  int // that dials may hold, dialDescriptors each
	reserved int // for features with sockets or files of their own
}

// inUse returns how many descriptors connections hold, or may come to hold.
func (d *descriptorBudget) inUse() int { return d.open + d.dialing }

// freeDescriptors closes the backend connections that have been idle for longest until n descriptors are available, and reports whether
// they are.
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

// dialDescriptors is what a dial may use: the event loop duplicates the descriptor before the dialed one is closed.
const dialDescriptors = 2

// connect dials an address. Either handler.onOpen is called, or failed. The returned function cancels the dial.
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

// ShareLimits divides descriptors and memory among this process and the others that serve beside it during a hot restart.
func (s *Sidecar) ShareLimits(otherProcesses int) {
	s.processes = otherProcesses + 1
	s.log.Info("living by the limits", "processes", s.processes)
	s.applyLimits()
}

// applyLimits reports this process's part of the limits.
func (s *Sidecar) applyLimits() {
	if s.OnLimitsChange != nil {
		limits := s.cfg.Limits
		limits.MemoryMB /= s.processes
		s.OnLimitsChange(limits)
	}
}

// ReserveDescriptors keeps descriptors for what is no connection of the sidecar's. It comes before Start.
func (s *Sidecar) ReserveDescriptors(descriptors int) { s.descriptors.reserved += descriptors }

// hasDescriptors reports whether n more descriptors are available.
func (s *Sidecar) hasDescriptors(n int) bool {
	return s.descriptors.inUse()+n <= s.maxConns()
}

// maxConns returns how many descriptors connections may use.
func (s *Sidecar) maxConns() int {
	return s.cfg.Limits.Sockets/s.processes - baseDescriptors - s.descriptors.reserved
}

// closeConn closes a connection at once. Nil is ignored.
func (s *Sidecar) closeConn(c netio.Conn) {
	if c != nil {
		s.net.Close(c)
	}
}

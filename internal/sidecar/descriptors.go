package sidecar

import "hazelwheel/internal/netio"

// descriptorBudget counts the file descriptors that connections use, and those that are reserved for other purposes.
type descriptorBudget struct {
	open     int // open connections of the event loop
	dialing  int // reserved for dials in progress, dialDescriptors each
	reserved int // for features with sockets or files of their own
}

// inUse returns how many descriptors connections use, including those being dialed.
func (d *descriptorBudget) inUse() int { return d.open + d.dialing }

// freeDescriptors closes idle backend connections, longest idle first, until n descriptors are available, and reports whether they are.
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

// dialDescriptors is how many descriptors a dial may use: the event loop duplicates the dialed one before it closes it.
const dialDescriptors = 2

// connect dials an address, and calls either handler.onOpen or failed. The returned function cancels the dial.
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

// ShareLimits divides the limits on descriptors and memory among this process and the others that run during a hot restart.
func (s *Sidecar) ShareLimits(otherProcesses int) {
	s.processes = otherProcesses + 1
	s.log.Info("living by the limits", "processes", s.processes)
	s.applyLimits()
}

// applyLimits passes the limits, with this process's share of the memory, to OnLimitsChange.
func (s *Sidecar) applyLimits() {
	if s.OnLimitsChange != nil {
		limits := s.cfg.Limits
		limits.MemoryMB /= s.processes
		s.OnLimitsChange(limits)
	}
}

// ReserveDescriptors reserves descriptors for uses outside this package. It must be called before Start.
func (s *Sidecar) ReserveDescriptors(descriptors int) { s.descriptors.reserved += descriptors }

// hasDescriptors reports whether n more descriptors are available.
func (s *Sidecar) hasDescriptors(n int) bool {
	return s.descriptors.inUse()+n <= s.maxConns()
}

// maxConns returns how many descriptors connections may use.
func (s *Sidecar) maxConns() int {
	return s.cfg.Limits.Sockets/s.processes - baseDescriptors - s.descriptors.reserved
}

// closeConn closes a connection at once. It does nothing if c is nil.
func (s *Sidecar) closeConn(c netio.Conn) {
	if c != nil {
		s.net.Close(c)
	}
}

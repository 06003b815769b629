package checker

import "math"

// pathFault is a fault on the path between a sidecar and a server, as in PathFaultStarted.
type pathFault struct {
	sidecar, server int32
	from, until     float64 // +Inf: it still is
}

// observePath handles what the network reports.
func (c *Checker) observePath(e *Event) {
	switch e.Kind {
	case PathFaultStarted:
		c.pathFaults = append(c.pathFaults, pathFault{e.Sidecar, e.Server, e.At, math.Inf(1)})
	case PathFaultEnded:
		for i := range c.pathFaults {
			fault := &c.pathFaults[i]
			if fault.sidecar == e.Sidecar && fault.server == e.Server && math.IsInf(fault.until, 1) {
				fault.until = e.At
				return
			}
		}
	}
}

// retransmissionSeconds is how long after a fault lost bytes may still be sent again.
const retransmissionSeconds = 11

// hadPathFault reports whether a path had a fault between two times, or so shortly before that what the fault held back
// arrives in between.
func (c *Checker) hadPathFault(sidecar, server int32, from, until float64) bool {
	for i := range c.pathFaults {
		fault := &c.pathFaults[i]
		isSamePath := (fault.sidecar == sidecar || fault.sidecar < 0) && fault.server == server
		if isSamePath && fault.from <= until && fault.until+retransmissionSeconds >= from {
			return true
		}
	}
	return false
}

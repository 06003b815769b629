package placement

// Status counts the servers of a pool, and the members of its subset by the reason for which they can't be picked now. A member
// is counted once, for the first reason that applies.
type Status struct {
	Listed        int
	Draining      int // of those listed
	Switching     int // of those listed, not counting draining ones: changing their stage
	Members       int // servers in the subset
	Available     int // members that can be picked
	WrongInstance int // another instance answered at the address
	Ejected       int // ejected after failures
	Full          int // all connections that this proxy may use are in use
	Suspected     int // has not replied to probes for too long
}

// Status returns the current status.
func (p *Pool) Status(now float64) Status {
	s := Status{Listed: len(p.endpoints), Members: len(p.members)}
	for _, e := range p.endpoints {
		switch {
		case e.Draining:
			s.Draining++
		case e.stageChange.isActive:
			s.Switching++
		}
	}
	for _, e := range p.members {
		switch {
		case e.isWrongInstance:
			s.WrongInstance++
		case now < e.ejectedUntil:
			s.Ejected++
		case p.maxConnections > 0 && e.InFlight >= p.maxConnections:
			s.Full++
		case e.probeGaps.phi(now) > excludePhi:
			s.Suspected++
		default:
			s.Available++
		}
	}
	return s
}

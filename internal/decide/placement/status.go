package placement

// Status counts the servers of a pool, and its members by why they are not chosen now. A member counts once, by the first reason
// that holds.
type Status struct {
	Listed        int
	Draining      int // of those listed
	Switching     int // of those listed: they are changing their stage
	Members       int // of the proxy's subset
	Available     int // members that may be chosen
	WrongInstance int // another instance answered at the address
	Ejected       int // requests failed there lately
	Full          int // as many own requests are under way as connections are allowed
	Suspected     int // probes were not answered for too long
}

// Status tells how the members stand now.
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

package sidecar

import "slices"

// Attempts that find neither an idle link nor the descriptors for a new one wait for either, in the order in which they
// came. Danger: ended at once, they would come back as often as they may within a millisecond and be refused, while links
// to their servers become free all the time.

// starve has an attempt wait.
func (s *Sidecar) starve(e *attempt) {
	s.counters.Starved++
	s.warnLimited("attempts wait for a descriptor")
	s.starved = append(s.starved, e)
}

// unstarve takes an attempt from those that wait, and tells whether it was one.
func (s *Sidecar) unstarve(e *attempt) bool {
	i := slices.Index(s.starved, e)
	if i >= 0 {
		s.starved = slices.Delete(s.starved, i, i+1)
	}
	return i >= 0
}

// feed gives a link that has become idle to the first attempt that waits for its server, and tells whether there was one.
func (s *Sidecar) feed(l *backendConn) bool {
	for _, e := range s.starved {
		if e.host == l.host && e.front == l.front && s.mayBegin(e) && s.net.NothingToRead(l.conn) {
			s.unstarve(e)
			l.begin(e)
			return true
		}
	}
	return false
}

// feedDials dials for those that wait while there are descriptors.
func (s *Sidecar) feedDials() {
	for len(s.starved) > 0 && !s.stopping && s.makeRoom(dialDescriptors+s.reservedClientSlots()) {
		e := s.starved[0]
		s.unstarve(e)
		if h := s.hosts.Host(e.host); h != nil && s.mayBegin(e) {
			s.dial(h, e)
		} else {
			s.finish(e, &attemptError{notConnected, overtaken, nil})
		}
	}
}

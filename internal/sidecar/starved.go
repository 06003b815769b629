package sidecar

import "slices"

// Attempts that find neither an idle link nor the descriptors for a new one wait for either, in the order in which they
// came. Danger: ended at once, they would come back as often as they may within a millisecond and be refused, while links
// to their servers become free all the time.

// starve has an attempt wait.
func (s *Sidecar) waitForConn(e *attempt) {
	s.counters.AttemptsWaited++
	s.warnLimited("attempts wait for a descriptor")
	s.waitingAttempts = append(s.waitingAttempts, e)
}

// unstarve takes an attempt from those that wait, and tells whether it was one.
func (s *Sidecar) stopWaiting(e *attempt) bool {
	i := slices.Index(s.waitingAttempts, e)
	if i >= 0 {
		s.waitingAttempts = slices.Delete(s.waitingAttempts, i, i+1)
	}
	return i >= 0
}

// feed gives a link that has become idle to the first attempt that waits for its server, and tells whether there was one.
func (s *Sidecar) assignToWaiter(l *backendConn) bool {
	for _, e := range s.waitingAttempts {
		if e.serverID == l.serverID && e.frontend == l.frontend && s.mayStart(e) && s.net.NothingToRead(l.conn) {
			s.stopWaiting(e)
			l.send(e)
			return true
		}
	}
	return false
}

// feedDials dials for those that wait while there are descriptors.
func (s *Sidecar) dialForWaiters() {
	for len(s.waitingAttempts) > 0 && !s.isStopping && s.freeDescriptors(dialDescriptors+s.reservedClientSlots()) {
		e := s.waitingAttempts[0]
		s.stopWaiting(e)
		if h := s.endpoints.Host(e.serverID); h != nil && s.mayStart(e) {
			s.dial(h, e)
		} else {
			s.finishAttempt(e, &attemptError{notConnected, superseded, nil})
		}
	}
}

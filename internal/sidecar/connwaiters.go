package sidecar

import "slices"

// Attempts that find neither an idle link nor the descriptors for a new one wait for either, in the order in which they
// came. Danger: ended at once, they would come back as often as they may within a millisecond and be refused, while links
// to their servers become free all the time.

// starve has an attempt wait.
func (s *Sidecar) waitForConn(a *attempt) {
	s.counters.AttemptsWaited++
	s.warnLimited("attempts wait for a descriptor")
	s.waitingAttempts = append(s.waitingAttempts, a)
}

// unstarve takes an attempt from those that wait, and tells whether it was one.
func (s *Sidecar) stopWaiting(a *attempt) bool {
	i := slices.Index(s.waitingAttempts, a)
	if i >= 0 {
		s.waitingAttempts = slices.Delete(s.waitingAttempts, i, i+1)
	}
	return i >= 0
}

// feed gives a link that has become idle to the first attempt that waits for its server, and tells whether there was one.
func (s *Sidecar) assignToWaiter(b *backendConn) bool {
	for _, a := range s.waitingAttempts {
		if a.serverID == b.serverID && a.frontend == b.frontend && s.mayStart(a) && s.net.NothingToRead(b.conn) {
			s.stopWaiting(a)
			b.send(a)
			return true
		}
	}
	return false
}

// feedDials dials for those that wait while there are descriptors.
func (s *Sidecar) dialForWaiters() {
	for len(s.waitingAttempts) > 0 && !s.isStopping && s.freeDescriptors(dialDescriptors+s.reservedClientSlots()) {
		a := s.waitingAttempts[0]
		s.stopWaiting(a)
		if endpoint := s.endpoints.Host(a.serverID); endpoint != nil && s.mayStart(a) {
			s.dial(endpoint, a)
		} else {
			s.finishAttempt(a, &attemptError{notConnected, superseded, nil})
		}
	}
}

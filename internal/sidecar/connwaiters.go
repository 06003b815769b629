package sidecar

// Attempts that find neither an idle link nor the descriptors for a new one wait for either, in the order in which they
// came. Danger: ended at once, they would come back as often as they may within a millisecond and be refused, while links
// to their servers become free all the time.

// starve has an attempt wait.
func (s *Sidecar) waitForConn(a *attempt) {
	s.counters.AttemptsWaited++
	s.warnLimited("attempts wait for a descriptor")
	s.backends.waiting = append(s.backends.waiting, a)
}

// feed gives a link that has become idle to the first attempt that waits for its server, and tells whether there was one.
func (s *Sidecar) assignToWaiter(b *backendConn) bool {
	for _, a := range s.backends.waiting {
		if a.serverID == b.serverID && a.frontend == b.frontend && s.mayStart(a) && s.net.NothingToRead(b.conn) {
			s.backends.removeWaiting(a)
			b.send(a)
			return true
		}
	}
	return false
}

// feedDials dials for those that wait while there are descriptors.
func (s *Sidecar) dialForWaiters() {
	for len(s.backends.waiting) > 0 && !s.lifecycle.isStopping && s.freeDescriptors(dialDescriptors+s.reservedClientSlots()) {
		a := s.backends.waiting[0]
		s.backends.removeWaiting(a)
		if endpoint := s.endpoints.Host(a.serverID); endpoint != nil && s.mayStart(a) {
			s.dial(endpoint, a)
		} else {
			s.finishAttempt(a, &attemptError{notConnected, superseded, nil})
		}
	}
}

package sidecar

// Attempts that find neither an idle connection nor the descriptors for a new one wait for either, in order. Danger: rejected at once, they
// would be retried as often as they may within a millisecond, while connections to their servers become idle all the time.

// waitForConn queues an attempt.
func (s *Sidecar) waitForConn(a *attempt) {
	s.counters.AttemptsWaited++
	s.warnLimited("attempts wait for a descriptor")
	s.backends.waiting = append(s.backends.waiting, a)
}

// assignToWaiter gives a connection that has become idle to the first attempt that waits for its server, and reports whether there was one.
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

// dialForWaiters dials for waiting attempts while descriptors are available.
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

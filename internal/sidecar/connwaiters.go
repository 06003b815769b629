package sidecar

// An attempt waits if there is neither an idle connection nor the descriptors for a new one; waiting attempts are served in order. If they
// were rejected at once, they would use up their retries within a millisecond, although connections become idle all the time.

// waitForConn queues an attempt.
func (s *Sidecar) waitForConn(a *attempt) {
	s.counters.AttemptsWaited++
	s.warnLimited("attempts wait for a descriptor")
	s.backends.waiting = append(s.backends.waiting, a)
}

// assignToWaiter gives a connection that has become idle to the first attempt waiting for its server, and reports whether there was one.
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

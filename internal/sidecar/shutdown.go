package sidecar

import "math"

// After the shutdown signal, clients still open connections for a while and use those that are open. The sidecar accepts connections for
// another listenGraceSeconds. Then it stops listening, closes connections that have been idle for drainIdleSeconds, and exits after the
// last response.
const (
	listenGraceSeconds        = 0.7
	drainIdleSeconds          = 0.2
	drainCheckIntervalSeconds = 0.01
	// The platform kills the process at the earliest killGraceSeconds after the longest request deadline, of which it counts at most
	// maxCountedRequestSeconds. So the process exits shutdownGraceSeconds after the longest deadline even if requests are still open, and
	// requests that arrive after the signal are answered by responseGraceSeconds after that deadline.
	killGraceSeconds         = 0.7
	maxCountedRequestSeconds = 3.0
	shutdownGraceSeconds     = killGraceSeconds - 0.05
	responseGraceSeconds     = killGraceSeconds - 0.1
)

// Drain starts the graceful shutdown: every response from now on is the last on its connection. The event loop stops once all responses are
// written.
func (s *Sidecar) Drain() {
	if !s.lifecycle.startShutdown(s.now()) {
		return
	}
	s.log.Info("ending", "open", s.counters.OpenRequests)
	if s.lifecycle.isReplaced { // the other process accepts new connections
		s.net.StopListening(s.onListenStopped)
		return
	}
	s.timers.schedule(s.lifecycle.shutdownStartedAt+listenGraceSeconds, func() {
		// While connections are accepted, clients replace each one that is closed, so the shutdown would never end.
		s.net.StopListening(s.onListenStopped)
	})
}

// onListenStopped is called once the listeners are closed.
func (s *Sidecar) onListenStopped() { s.runCallback(s.finishShutdown) }

// closeIdleClients closes the client connections that have been idle for drainIdleSeconds, and reports whether others are
// still open.
func (s *Sidecar) closeIdleClients() (busy bool) {
	now := s.now()
	for i := len(s.clients.conns) - 1; i >= 0; i-- { // backwards: closing a connection moves the last one to its index
		c := s.clients.conns[i]
		if _, since := c.slot.State(); c.isIdle() && since < now-drainIdleSeconds && !c.mayHaveUnreadRequest() {
			c.isLastWritten = true
			c.startLinger()
		}
		busy = busy || !c.isWriteClosed || !s.net.AllAcknowledged(c.conn)
	}
	return busy
}

// finishShutdown closes idle connections periodically, and stops the event loop once none is left or the time is up.
func (s *Sidecar) finishShutdown() {
	now := s.now()
	busy := s.closeIdleClients() || s.counters.OpenRequests > 0
	if busy && now < s.lifecycle.shutdownStartedAt+s.maxRequestSeconds()+shutdownGraceSeconds {
		s.timers.schedule(now+drainCheckIntervalSeconds, s.finishShutdown)
		return
	}
	if busy {
		remaining := map[string]int{}
		for _, c := range s.clients.conns {
			state, _ := c.slot.State()
			remaining[state.String()]++
		}
		s.log.Warn("ended with work left", "requests", s.counters.OpenRequests, "links", remaining)
	}
	s.lifecycle.isStopping = true
	s.net.Stop()
}

// latestResponseAt returns the time by which a request that arrives now must be answered: before this process exits or, if it arrives more
// than listenGraceSeconds after the signal, before the platform may kill the process.
func (s *Sidecar) latestResponseAt() float64 {
	if !s.lifecycle.isShuttingDown {
		return math.Inf(1)
	}
	longest := s.maxRequestSeconds()
	if s.now() > s.lifecycle.shutdownStartedAt+listenGraceSeconds {
		longest = min(longest, maxCountedRequestSeconds)
	}
	return s.lifecycle.shutdownStartedAt + longest + responseGraceSeconds
}

// maxRequestSeconds returns the longest total timeout of all request classes.
func (s *Sidecar) maxRequestSeconds() (longest float64) {
	for _, c := range s.cfg.Settings.Policy.Classes {
		longest = max(longest, c.TotalTimeoutSeconds)
	}
	return longest
}

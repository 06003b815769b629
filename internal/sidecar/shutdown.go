package sidecar

import "math"

// After the signal to end clients go on opening connections for a while and use those that they have. Requests that come within
// newcomerPeriodSeconds are served; then the sidecar stops to accept, closes connections that have been idle for drainIdleSeconds, and ends
// with the last response.
const (
	newcomerPeriodSeconds     = 0.7
	drainIdleSeconds          = 0.2
	drainCheckIntervalSeconds = 0.01
	// shutdownGraceSeconds after the longest deadline the process ends with whatever is left; responseGraceSeconds after it all requests
	// are answered that came after the signal. The platform kills the process no sooner than killGraceSeconds after the longest deadline,
	// of which it counts at most maxCountedRequestSeconds.
	killGraceSeconds         = 0.7
	maxCountedRequestSeconds = 3.0
	shutdownGraceSeconds     = killGraceSeconds - 0.05
	responseGraceSeconds     = killGraceSeconds - 0.1
)

// Drain starts the graceful shutdown: every response from now on is the last on its connection. The event loop is stopped when all are
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
	s.timers.schedule(s.lifecycle.shutdownStartedAt+newcomerPeriodSeconds, func() {
		// Danger: clients whose connections are closed open new ones for as long as these are accepted, and the shutdown never ends.
		s.net.StopListening(s.onListenStopped)
	})
}

// onListenStopped is called when no connection is accepted any more.
func (s *Sidecar) onListenStopped() { s.runCallback(s.finishShutdown) }

// closeIdleClients closes the client connections that have been idle for drainIdleSeconds, and reports whether there are others.
func (s *Sidecar) closeIdleClients() (busy bool) {
	now := s.now()
	for i := len(s.clients.conns) - 1; i >= 0; i-- { // Danger: a connection that is removed leaves its index to the last one
		c := s.clients.conns[i]
		if _, since := c.slot.State(); c.isIdle() && since < now-drainIdleSeconds && !c.mayHaveUnreadRequest() {
			c.isLastWritten = true
			c.startLinger()
		}
		busy = busy || !c.isWriteClosed || !s.net.AllAcknowledged(c.conn)
	}
	return busy
}

// finishShutdown closes idle connections, and stops the event loop once there is no other or no time is left.
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

// latestResponseAt returns the time by which a request that comes now is answered at the latest: before this process ends or, for one that
// comes after the newcomers' period, before the platform may kill it.
func (s *Sidecar) latestResponseAt() float64 {
	if !s.lifecycle.isShuttingDown {
		return math.Inf(1)
	}
	longest := s.maxRequestSeconds()
	if s.now() > s.lifecycle.shutdownStartedAt+newcomerPeriodSeconds {
		longest = min(longest, maxCountedRequestSeconds)
	}
	return s.lifecycle.shutdownStartedAt + longest + responseGraceSeconds
}

// maxRequestSeconds returns the longest deadline of the settings' classes.
func (s *Sidecar) maxRequestSeconds() (longest float64) {
	for _, c := range s.cfg.Settings.Policy.Classes {
		longest = max(longest, c.TotalTimeoutSeconds)
	}
	return longest
}

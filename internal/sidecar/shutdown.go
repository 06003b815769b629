package sidecar

import "math"

// After the word to end, clients go on coming for a while and use the links that they have. Those who come in
// stragglersS are served; then nobody is accepted any more, links that have had nothing to say for quietS are closed, and
// the program ends with the last answer.
const (
	newcomerPeriodSeconds     = 0.7
	drainIdleSeconds          = 0.2
	drainCheckIntervalSeconds = 0.01
	// graceS is how long after the longest deadline the program ends whatever is left, and answeredS until when all that has come
	// after the word to end is answered. The platform kills the process no sooner than killGraceS after the longest deadline, of
	// which it counts no more than longestCountedS.
	killGraceSeconds         = 0.7
	maxCountedRequestSeconds = 3.0
	shutdownGraceSeconds     = killGraceSeconds - 0.05
	responseGraceSeconds     = killGraceSeconds - 0.1
)

// Drain begins the end: every answer from now on is the last on its link.
func (s *Sidecar) Drain() {
	if !s.lifecycle.startShutdown(s.now()) {
		return
	}
	s.log.Info("ending", "open", s.counters.OpenRequests)
	if s.lifecycle.isReplaced { // newcomers are the other's
		s.net.StopListening(s.onListenStopped)
		return
	}
	s.timers.schedule(s.lifecycle.shutdownStartedAt+newcomerPeriodSeconds, func() {
		// Danger: clients that are told to close come back on new connections for as long as these are accepted, and
		// the end never comes.
		s.net.StopListening(s.onListenStopped)
	})
}

// gone is leave as a call of the loop's own.
func (s *Sidecar) onListenStopped() { s.runCallback(s.finishShutdown) }

// endIdle ends the links that have had nothing to say for a while, and tells whether there are others.
func (s *Sidecar) closeIdleClients() (busy bool) {
	now := s.now()
	for i := len(s.clients.conns) - 1; i >= 0; i-- { // Danger: a link that goes leaves its place to the last one
		c := s.clients.conns[i]
		if _, since := c.slot.State(); c.isIdle() && since < now-drainIdleSeconds && !c.mayHaveUnreadRequest() {
			c.isLastWritten = true
			c.startLinger()
		}
		busy = busy || !c.isWriteClosed || !s.net.AllAcknowledged(c.conn)
	}
	return busy
}

// leave closes the links that are idle, and ends the loop once there is no other, or once no time is left.
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

// latestAnswer returns when a request that comes now has its answer at the latest: before this process ends or, for one that comes
// after the stragglers, before the platform may kill it.
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

// longestWait is how long a client waits at most by the settings.
func (s *Sidecar) maxRequestSeconds() (longest float64) {
	for _, c := range s.cfg.Settings.Policy.Classes {
		longest = max(longest, c.TotalTimeoutSeconds)
	}
	return longest
}

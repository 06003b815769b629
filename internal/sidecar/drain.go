package sidecar

import "math"

// After the word to end, clients go on coming for a while and use the links that they have. Those who come in
// stragglersS are served; then nobody is accepted any more, links that have had nothing to say for quietS are closed, and
// the program ends with the last answer.
const (
	stragglersS = 0.7
	quietS      = 0.2
	drainEveryS = 0.01
	// graceS is how long after the longest deadline the program ends whatever is left, and answeredS until when all that has come
	// after the word to end is answered. The platform kills the process no sooner than killGraceS after the longest deadline, of
	// which it counts no more than longestCountedS.
	killGraceS      = 0.7
	longestCountedS = 3.0
	graceS          = killGraceS - 0.05
	answeredS       = killGraceS - 0.1
)

// Drain begins the end: every answer from now on is the last on its link.
func (s *Sidecar) Drain() {
	if s.draining {
		return
	}
	s.draining, s.drainedAt = true, s.now()
	s.log.Info("ending", "open", s.counters.OpenRequests)
	if s.succeeded { // newcomers are the other's
		s.net.StopListening(s.gone)
		return
	}
	s.timers.schedule(s.drainedAt+stragglersS, func() {
		// Danger: clients that are told to close come back on new connections for as long as these are accepted, and
		// the end never comes.
		s.net.StopListening(s.gone)
	})
}

// gone is leave as a call of the loop's own.
func (s *Sidecar) gone() { s.runCallback(s.leave) }

// endIdle ends the links that have had nothing to say for a while, and tells whether there are others.
func (s *Sidecar) endIdle() (busy bool) {
	now := s.now()
	for i := len(s.clients) - 1; i >= 0; i-- { // Danger: a link that goes leaves its place to the last one
		l := s.clients[i]
		if _, since := l.slot.State(); l.isIdle() && since < now-quietS && !l.mayHaveUnreadRequest() {
			l.isLastWritten = true
			l.startLinger()
		}
		busy = busy || !l.isWriteClosed || !s.net.AllAcknowledged(l.conn)
	}
	return busy
}

// leave closes the links that are idle, and ends the loop once there is no other, or once no time is left.
func (s *Sidecar) leave() {
	now := s.now()
	busy := s.endIdle() || s.counters.OpenRequests > 0
	if busy && now < s.drainedAt+s.longestWait()+graceS {
		s.timers.schedule(now+drainEveryS, s.leave)
		return
	}
	if busy {
		left := map[string]int{}
		for _, l := range s.clients {
			state, _ := l.slot.State()
			left[state.String()]++
		}
		s.log.Warn("ended with work left", "requests", s.counters.OpenRequests, "links", left)
	}
	s.stopping = true
	s.net.Stop()
}

// latestAnswer returns when a request that comes now has its answer at the latest: before this process ends or, for one that comes
// after the stragglers, before the platform may kill it.
func (s *Sidecar) latestAnswer() float64 {
	if !s.draining {
		return math.Inf(1)
	}
	longest := s.longestWait()
	if s.now() > s.drainedAt+stragglersS {
		longest = min(longest, longestCountedS)
	}
	return s.drainedAt + longest + answeredS
}

// longestWait is how long a client waits at most by the settings.
func (s *Sidecar) longestWait() (longest float64) {
	for _, c := range s.cfg.Settings.Policy.Classes {
		longest = max(longest, c.TotalTimeoutSeconds)
	}
	return longest
}

package sidecar

// After the word to end, clients go on coming for a while and use the links that they have. Those who come in
// stragglersS are served; then what is idle is closed, and the program ends with the last answer.
const (
	stragglersS = 0.6
	drainEveryS = 0.01
)

// Drain begins the end: every answer from now on is the last on its link.
func (s *Sidecar) Drain() {
	if s.draining {
		return
	}
	s.draining = true
	s.log.Info("ending", "open", s.counters.Open)
	s.timers.at(s.now()+stragglersS, s.leave)
}

// leave closes the links that are idle, and ends the loop once there is no other.
func (s *Sidecar) leave() {
	for i := len(s.clients) - 1; i >= 0; i-- { // Danger: a link that goes leaves its place to the last one
		if l := s.clients[i]; l.idle() {
			l.last = true
			l.finish()
		}
	}
	busy := s.counters.Open > 0
	for _, l := range s.clients {
		busy = busy || !l.shut
	}
	if busy {
		s.timers.at(s.now()+drainEveryS, s.leave)
		return
	}
	s.stopping = true
	s.net.Stop()
}

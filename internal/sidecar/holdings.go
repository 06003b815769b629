package sidecar

// Holdings is how much of what it takes up a sidecar holds. One that has had nothing to do for a while holds no more than
// backend connections, its watch, and the timers of these.
type Holdings struct {
	Requests    int // that are not over, or named
	ClientLinks int
	ServerLinks int // also such as come up or carry a probe
	Buffered    int // bytes that have come and have not been read
	Timers      int
	Events      int // for the decisions
	Hosts       int // known, which may each have a link to probe them by
}

// Holdings returns what is held now. It is for the loop, between its calls.
func (s *Sidecar) Holdings() Holdings {
	h := Holdings{Requests: max(len(s.requests), len(s.named)), ClientLinks: len(s.clients), ServerLinks: s.conns - len(s.clients),
		Timers: s.timers.n, Events: len(s.queue), Hosts: s.hosts.Len()}
	if w := s.watcher; w != nil && w.conn != nil {
		h.ServerLinks--
		h.Buffered += w.buf.Len()
	}
	for _, l := range s.clients {
		h.Buffered += l.buf.Len()
	}
	return h
}

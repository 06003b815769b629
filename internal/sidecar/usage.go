package sidecar

// ResourceUsage is how much of what it takes up a sidecar holds. One that has had nothing to do for a while holds no more than
// backend connections, its watch, and the timers of these.
type ResourceUsage struct {
	Requests      int // that are not over, or named
	ClientConns   int
	BackendConns  int // also such as come up or carry a probe
	BufferedBytes int // bytes that have come and have not been read
	Timers        int
	Events        int // for the decisions
	Servers       int // known, which may each have a link to probe them by
}

// ResourceUsage returns what is held now. It is for the loop, between its calls.
func (s *Sidecar) ResourceUsage() ResourceUsage {
	h := ResourceUsage{Requests: s.requests.len(), ClientConns: len(s.clients.conns), BackendConns: s.descriptors.open - len(s.clients.conns),
		Timers: s.timers.count, Events: len(s.turn.events), Servers: s.endpoints.Len()}
	if w := s.discovery.watcher; w != nil && w.conn != nil {
		h.BackendConns--
		h.BufferedBytes += w.input.Len()
	}
	for _, c := range s.clients.conns {
		h.BufferedBytes += c.input.Len()
	}
	return h
}

package sidecar

// ResourceUsage is what a sidecar holds. One that has been idle for a while holds no more than backend connections, its watch, and their
// timers.
type ResourceUsage struct {
	Requests      int // open, or with a client's ID in use
	ClientConns   int
	BackendConns  int // including those that are being dialed or carry a probe
	BufferedBytes int // received and not parsed
	Timers        int
	Events        int // queued for the policy
	Servers       int // known, each of which may have a connection for probes
}

// ResourceUsage returns what is held now. It is for the event loop, between callbacks.
func (s *Sidecar) ResourceUsage() ResourceUsage {
	h := ResourceUsage{
		Requests:     s.requests.len(),
		ClientConns:  len(s.clients.conns),
		BackendConns: s.descriptors.open - len(s.clients.conns),
		Timers:       s.timers.count,
		Events:       len(s.turn.events),
		Servers:      s.endpoints.Len(),
	}
	if w := s.discovery.watcher; w != nil && w.conn != nil {
		h.BackendConns--
		h.BufferedBytes += w.input.Len()
	}
	for _, c := range s.clients.conns {
		h.BufferedBytes += c.input.Len()
	}
	return h
}

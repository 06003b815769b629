package sidecar

// ResourceUsage counts the resources that a sidecar holds. After a while without requests these are at most backend connections, the watch,
// and their timers.
type ResourceUsage struct {
	Requests      int // open requests, and answered ones that are still tracked
	ClientConns   int
	BackendConns  int // including those that carry a probe
	BufferedBytes int // received but not parsed
	Timers        int
	Events        int // queued for the policy
	Servers       int // known servers; each may have a connection for probes
}

// ResourceUsage returns the current usage. It must be called on the event loop, between callbacks.
func (s *Sidecar) ResourceUsage() ResourceUsage {
	usage := ResourceUsage{
		Requests:     s.requests.len(),
		ClientConns:  len(s.clients.conns),
		BackendConns: s.descriptors.open - len(s.clients.conns),
		Timers:       s.timers.count,
		Events:       len(s.turn.events),
		Servers:      s.endpoints.Len(),
	}
	if w := s.discovery.watcher; w != nil && w.conn != nil {
		usage.BackendConns--
		usage.BufferedBytes += w.input.Len()
	}
	for _, c := range s.clients.conns {
		usage.BufferedBytes += c.input.Len()
	}
	return usage
}

package sidecar

import "hazelwheel/policy"

// StatusSnapshot is what the event loop says of itself for the operators. It is not changed once it is published.
type StatusSnapshot struct {
	TakenAt            float64 // when it was made
	IsShuttingDown     bool    // the process has been told to end
	Classes            []classCounts
	RequestsWritten    uint64 // attempts whose request was written whole
	OpenRequests       int    // requests taken and not ended
	Servers            int    // servers on the list
	UnavailableServers int    // of these, that are not to be used, by hand or by choice
	FleetMetrics       []Metric
}

// Metric is one number of a part that is not the core.
type Metric struct {
	Name  string
	Value uint64
}

// MetricsSource is a part of a program that has figures of its own.
type MetricsSource interface{ Metrics() []Metric }

// StatusSnapshot returns the latest snapshot, nil before the first. It may be called from anywhere, and waits for nobody.
func (s *Sidecar) StatusSnapshot() *StatusSnapshot { return s.snapshot.Load() }

// publish makes a snapshot of the figures, again and again.
func (s *Sidecar) publishSnapshot() {
	now := s.now()
	f := &StatusSnapshot{TakenAt: now, IsShuttingDown: s.lifecycle.isShuttingDown, Classes: append([]classCounts(nil), s.counters.Classes...), RequestsWritten: s.counters.RequestsWritten,
		OpenRequests: s.counters.OpenRequests}
	avoided := s.balancer.Ejected(now)
	for h := range s.endpoints.Listed {
		if f.Servers++; h.State != policy.Ready || avoided(h.ID) {
			f.UnavailableServers++
		}
	}
	if s.fleet.metrics != nil {
		f.FleetMetrics = s.fleet.metrics.Metrics()
	}
	s.snapshot.Store(f)
	s.timers.schedule(now+snapshotIntervalSeconds, s.publishSnapshot)
}

// SetFleetStatus has the counters and the door's dump hold what a fleet says of itself; it is asked on the loop.
func (s *Sidecar) SetFleetStatus(see func() any, counted MetricsSource) {
	s.fleet.status, s.fleet.metrics = see, counted
}

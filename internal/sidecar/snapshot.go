package sidecar

import "hazelwheel/policy"

// StatusSnapshot is the state that the admin endpoint reports. It is immutable once it is published.
type StatusSnapshot struct {
	TakenAt            float64 // on the event loop's clock
	IsShuttingDown     bool    // graceful shutdown has started
	Classes            []classCounts
	RequestsWritten    uint64 // attempts whose request was written completely
	OpenRequests       int    // requests without a final response
	Servers            int    // on the endpoint list
	UnavailableServers int    // servers that are cordoned, draining, or avoided by the policy
	FleetMetrics       []Metric
}

// Metric is a named number of a component outside this package.
type Metric struct {
	Name  string
	Value uint64
}

// MetricsSource returns the metrics of a component. It is called on the event loop.
type MetricsSource interface{ Metrics() []Metric }

// StatusSnapshot returns the latest snapshot, nil before the first. It may be called from any goroutine and never blocks.
func (s *Sidecar) StatusSnapshot() *StatusSnapshot { return s.snapshot.Load() }

// publishSnapshot publishes a snapshot every snapshotIntervalSeconds.
func (s *Sidecar) publishSnapshot() {
	now := s.now()
	snapshot := &StatusSnapshot{
		TakenAt:         now,
		IsShuttingDown:  s.lifecycle.isShuttingDown,
		Classes:         append([]classCounts(nil), s.counters.Classes...),
		RequestsWritten: s.counters.RequestsWritten,
		OpenRequests:    s.counters.OpenRequests,
	}
	isAvoided := s.balancer.Ejected(now)
	for h := range s.endpoints.Listed {
		if snapshot.Servers++; h.State != policy.Ready || isAvoided(h.ID) {
			snapshot.UnavailableServers++
		}
	}
	if s.fleet.metrics != nil {
		snapshot.FleetMetrics = s.fleet.metrics.Metrics()
	}
	s.snapshot.Store(snapshot)
	s.timers.schedule(now+snapshotIntervalSeconds, s.publishSnapshot)
}

// SetFleetStatus adds a fleet's status to the counters and its metrics to the snapshots. Both are called on the event loop. It must be
// called before Start.
func (s *Sidecar) SetFleetStatus(status func() any, metrics MetricsSource) {
	s.fleet.status, s.fleet.metrics = status, metrics
}

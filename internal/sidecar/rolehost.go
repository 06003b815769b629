package sidecar

// RoleHost is the sidecar as its fleet membership sees it. The methods must be called on the event loop.
type RoleHost interface {
	// ShutdownState reports whether the sidecar is shutting down, and whether another process has replaced it.
	ShutdownState() (shuttingDown, replaced bool)
	// CanTakeRoles reports whether the sidecar may take roles in the fleet in addition to serving, and the reason if it may not.
	CanTakeRoles() (ok bool, reason string)
	// RequestStats returns, by class, how requests have ended since the last call. It returns nil unless EnableRequestStats was called.
	RequestStats() []ClassStats
}

// RankReceiver receives the sidecar's rank in its fleet.
type RankReceiver interface {
	// SetRank sets the sidecar's rank among the live members, counted from 0, and their number. It must be called on the event loop.
	SetRank(rank, count int)
}

// ShutdownState implements RoleHost.
func (s *Sidecar) ShutdownState() (shuttingDown, replaced bool) {
	return s.lifecycle.isShuttingDown, s.lifecycle.isReplaced
}

// SetRank implements RankReceiver. The policy uses the new rank from the next event on.
func (s *Sidecar) SetRank(rank, count int) {
	s.runCallback(func() {
		s.pushEvent(func(now float64) {
			s.capture.RecordReplica(now, rank, count)
			s.balancer.SetReplica(now, rank, count)
		})
	})
}

// fleetHooks are the callbacks that a fleet has registered. Each may be nil.
type fleetHooks struct {
	faultObserver FaultObserver
	metrics       MetricsSource
	status        func() any // encoded as JSON in the counters
}

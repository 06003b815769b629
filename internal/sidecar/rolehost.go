package sidecar

// RoleHost is what a fleet queries of the sidecar that it is a part of. The methods are for the event loop.
type RoleHost interface {
	// ShutdownState reports whether the sidecar is shutting down, and whether another process has replaced it.
	ShutdownState() (shuttingDown, replaced bool)
	// CanTakeRoles reports whether the sidecar may take roles for the fleet beside serving, and the reason if it may not.
	CanTakeRoles() (ok bool, reason string)
	// RequestStats returns how requests have ended since the last call, by class; nil unless EnableRequestStats was called.
	RequestStats() []ClassStats
}

// RankReceiver is given the sidecar's rank in its fleet.
type RankReceiver interface {
	// SetRank sets the sidecar's rank among the live members, from 0, and their number. It is for the event loop.
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

// fleetHooks are the calls between the sidecar and its fleet. Each is nil if there is no fleet, or none that uses it.
type fleetHooks struct {
	faultObserver FaultObserver
	metrics       MetricsSource
	status        func() any // marshalled into the counters
}

package sidecar

// RoleHost is what a fleet asks of the sidecar that it is a part of.
type RoleHost interface {
	// ShutdownState tells whether the sidecar has been told to end, and whether another process serves in its place by then.
	ShutdownState() (ending, succeeded bool)
	// CanTakeRoles tells whether it may work for others beside serving, or why not.
	CanTakeRoles() (ok bool, why string)
	// RequestStats returns how requests have fared since it was called last, by class; nothing unless Measure was called.
	RequestStats() []ClassStats
}

// RankReceiver is what a fleet tells it.
type RankReceiver interface {
	// SetRank tells it that it is the one of this number among so many that live.
	SetRank(number, count int)
}

// ShutdownState is for the loop.
func (s *Sidecar) ShutdownState() (ending, succeeded bool) {
	return s.lifecycle.isShuttingDown, s.lifecycle.isReplaced
}

// SetRank is for the loop. The decisions go by the new place from the next event on.
func (s *Sidecar) SetRank(number, count int) {
	s.runCallback(func() {
		s.pushEvent(func(now float64) {
			s.capture.RecordReplica(now, number, count)
			s.balancer.SetReplica(now, number, count)
		})
	})
}

// fleetHooks are what a fleet has asked to be called, and is asked itself. Each is nil where there is no fleet, or none that wants it.
type fleetHooks struct {
	faultObserver FaultObserver
	metrics       MetricsSource
	status        func() any // marshalled into the counters
}

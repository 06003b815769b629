package sidecar

import (
	"errors"

	"hazelwheel/policy"
)

const (
	// AdminDescriptors are kept for the operators' door, with its listener.
	AdminDescriptors = 18
	// publishEveryS is the time between two snapshots of the figures.
	snapshotIntervalSeconds = 0.1
)

// CordonServer takes a server out of use until Online. The ban holds once it returns.
func (s *Sidecar) CordonServer(name string) error {
	info, err := s.endpoints.Cordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server taken out by hand", "server", name)
	s.pushServerChange(info)
	return s.restart.store.Cordon(name)
}

// UncordonServer ends a server's ban, however often it was called for.
func (s *Sidecar) UncordonServer(name string) error {
	info, err := s.endpoints.Uncordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server given back by hand", "server", name)
	s.pushServerChange(info)
	return s.restart.store.Uncordon(name)
}

// retell tells the decisions of a server that is to be used in another way from now on.
// Danger: changes count as a sign that the watch is up. Where it is not, the decisions would never ask for one again.
func (s *Sidecar) pushServerChange(infos ...policy.HostInfo) {
	kind := policy.ListCached
	if s.discovery.isWatchUp() {
		kind = policy.ListDelta
	}
	s.pushEndpoints(kind, infos)
	s.closeUnusableIdleConns()
}

// errEnding is the answer to who would join a process that has been told to end.
var errShuttingDown = errors.New("this process has been told to end")

// IsDrainedByOperator tells whether the sidecar is drained by hand: it says that it is not ready.
func (s *Sidecar) IsDrainedByOperator() bool { return s.lifecycle.isDrained }

// DrainByOperator drains by hand: newcomers are told to stay away, each answer is the last on its link, and links that have had
// nothing to say for a while are ended. Who comes all the same is served.
func (s *Sidecar) DrainByOperator() error {
	if s.lifecycle.isShuttingDown {
		return nil
	}
	s.setDrained(true)
	return s.restart.store.SetDrained(true)
}

func (s *Sidecar) setDrained(on bool) {
	if s.lifecycle.isDrained == on {
		return
	}
	s.lifecycle.isDrained = on
	s.log.Info("drain by hand", "on", on, "links", len(s.clients.conns))
	if on {
		s.timers.schedule(s.now()+newcomerPeriodSeconds, s.closeIdleWhileDrained)
	}
}

// thin ends idle links until the drain is over.
func (s *Sidecar) closeIdleWhileDrained() {
	if s.lifecycle.isDrained && !s.lifecycle.isShuttingDown {
		s.closeIdleClients()
		s.timers.schedule(s.now()+drainCheckIntervalSeconds, s.closeIdleWhileDrained)
	}
}

// UndrainByOperator ends a drain by hand.
func (s *Sidecar) UndrainByOperator() error {
	if s.lifecycle.isShuttingDown {
		return errShuttingDown
	}
	s.setDrained(false)
	return s.restart.store.SetDrained(false)
}

package sidecar

import (
	"errors"

	"hazelwheel/policy"
)

const (
	// AdminDescriptors are reserved for the admin endpoint, including its listener.
	AdminDescriptors = 18
	// snapshotIntervalSeconds is the time between two snapshots for the admin endpoint.
	snapshotIntervalSeconds = 0.1
)

// CordonServer takes a server out of use until UncordonServer. It returns after the cordon is in effect, with the error of an unknown
// server or of the store.
func (s *Sidecar) CordonServer(name string) error {
	info, err := s.endpoints.Cordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server cordoned", "server", name)
	s.pushServerChange(info)
	return s.restart.store.Cordon(name)
}

// UncordonServer ends a server's cordon, however often it was set.
func (s *Sidecar) UncordonServer(name string) error {
	info, err := s.endpoints.Uncordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server uncordoned", "server", name)
	s.pushServerChange(info)
	return s.restart.store.Uncordon(name)
}

// pushServerChange reports servers to the policy whose use has changed. Danger: a delta counts as a sign that a watch is up. Where none is,
// the policy would never ask for one again.
func (s *Sidecar) pushServerChange(infos ...policy.HostInfo) {
	kind := policy.ListCached
	if s.discovery.isWatchUp() {
		kind = policy.ListDelta
	}
	s.pushEndpoints(kind, infos)
	s.closeUnusableIdleConns()
}

// errShuttingDown rejects the end of a drain while the process shuts down.
var errShuttingDown = errors.New("this process has been told to end")

// IsDrainedByOperator reports whether operators have drained the sidecar: it is not ready.
func (s *Sidecar) IsDrainedByOperator() bool { return s.lifecycle.isDrained }

// DrainByOperator drains the sidecar: it reports that it is not ready, each response is the last on its connection, and idle connections
// are closed after a while. Requests that come all the same are served.
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
	s.log.Info("operator drain changed", "drained", on, "connections", len(s.clients.conns))
	if on {
		s.timers.schedule(s.now()+newcomerPeriodSeconds, s.closeIdleWhileDrained)
	}
}

// closeIdleWhileDrained closes idle client connections until the drain ends.
func (s *Sidecar) closeIdleWhileDrained() {
	if s.lifecycle.isDrained && !s.lifecycle.isShuttingDown {
		s.closeIdleClients()
		s.timers.schedule(s.now()+drainCheckIntervalSeconds, s.closeIdleWhileDrained)
	}
}

// UndrainByOperator ends a drain.
func (s *Sidecar) UndrainByOperator() error {
	if s.lifecycle.isShuttingDown {
		return errShuttingDown
	}
	s.setDrained(false)
	return s.restart.store.SetDrained(false)
}

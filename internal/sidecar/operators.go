package sidecar

import (
	"errors"

	"hazelwheel/policy"
)

const (
	// AdminDescriptors is the number of descriptors reserved for the admin endpoint, including its listener.
	AdminDescriptors = 18
	// snapshotIntervalSeconds is the time between two snapshots for the admin endpoint.
	snapshotIntervalSeconds = 0.1
)

// CordonServer takes a server out of use until UncordonServer is called. The cordon is in effect when it returns. It fails if the server is
// unknown or the cordon can't be stored.
func (s *Sidecar) CordonServer(name string) error {
	info, err := s.endpoints.Cordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server cordoned", "server", name)
	s.pushServerChange(info)
	return s.restart.store.Cordon(name)
}

// UncordonServer ends a server's cordon, however often CordonServer was called.
func (s *Sidecar) UncordonServer(name string) error {
	info, err := s.endpoints.Uncordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server uncordoned", "server", name)
	s.pushServerChange(info)
	return s.restart.store.Uncordon(name)
}

// pushServerChange reports cordoned, uncordoned or maintained servers to the policy. The policy takes a delta as a sign that a watch is up.
// If none is, it would never request one again; so the change is then reported as a cached list.
func (s *Sidecar) pushServerChange(infos ...policy.HostInfo) {
	kind := policy.ListCached
	if s.discovery.isWatchUp() {
		kind = policy.ListDelta
	}
	s.pushEndpoints(kind, infos)
	s.closeUnusableIdleConns()
}

// errShuttingDown is returned by UndrainByOperator while the process shuts down.
var errShuttingDown = errors.New("this process has been told to end")

// IsDrainedByOperator reports whether an operator has drained the sidecar.
func (s *Sidecar) IsDrainedByOperator() bool { return s.lifecycle.isDrained }

// DrainByOperator drains the sidecar: it reports that it is not ready, each response is the last on its connection, and idle connections
// are closed after listenGraceSeconds. Requests that still arrive are served.
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
		s.timers.schedule(s.now()+listenGraceSeconds, s.closeIdleWhileDrained)
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

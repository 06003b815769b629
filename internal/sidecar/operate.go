package sidecar

import (
	"errors"

	"hazelwheel/policy"
)

const (
	// AdminDescriptors are kept for the operators' door, with its listener.
	AdminDescriptors = 18
	// publishEveryS is the time between two snapshots of the figures.
	publishEveryS = 0.1
)

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
func (s *Sidecar) StatusSnapshot() *StatusSnapshot { return s.figures.Load() }

// publish makes a snapshot of the figures, again and again.
func (s *Sidecar) publish() {
	now := s.now()
	f := &StatusSnapshot{TakenAt: now, IsShuttingDown: s.draining, Classes: append([]classCounts(nil), s.counters.Classes...), RequestsWritten: s.counters.RequestsWritten,
		OpenRequests: s.counters.OpenRequests}
	avoided := s.balancer.Ejected(now)
	for h := range s.hosts.Listed {
		if f.Servers++; h.State != policy.Ready || avoided(h.ID) {
			f.UnavailableServers++
		}
	}
	if s.counted != nil {
		f.FleetMetrics = s.counted.Metrics()
	}
	s.figures.Store(f)
	s.timers.schedule(now+publishEveryS, s.publish)
}

// CordonServer takes a server out of use until Online. The ban holds once it returns.
func (s *Sidecar) CordonServer(name string) error {
	info, err := s.hosts.Cordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server taken out by hand", "server", name)
	s.retell(info)
	return s.shelf.Cordon(name)
}

// UncordonServer ends a server's ban, however often it was called for.
func (s *Sidecar) UncordonServer(name string) error {
	info, err := s.hosts.Uncordon(name, s.now())
	if err != nil {
		return err
	}
	s.log.Info("server given back by hand", "server", name)
	s.retell(info)
	return s.shelf.Uncordon(name)
}

// retell tells the decisions of a server that is to be used in another way from now on.
// Danger: changes count as a sign that the watch is up. Where it is not, the decisions would never ask for one again.
func (s *Sidecar) retell(infos ...policy.HostInfo) {
	kind := policy.ListCached
	if s.watches() {
		kind = policy.ListDelta
	}
	s.tellHosts(kind, infos)
	s.dropIdle()
}

// errEnding is the answer to who would join a process that has been told to end.
var errEnding = errors.New("this process has been told to end")

// IsDrainedByOperator tells whether the sidecar is drained by hand: it says that it is not ready.
func (s *Sidecar) IsDrainedByOperator() bool { return s.away }

// leaving tells whether every answer is to be the last on its link.
func (s *Sidecar) leaving() bool { return s.draining || s.away }

// DrainByOperator drains by hand: newcomers are told to stay away, each answer is the last on its link, and links that have had
// nothing to say for a while are ended. Who comes all the same is served.
func (s *Sidecar) DrainByOperator() error {
	if s.draining {
		return nil
	}
	s.setAway(true)
	return s.shelf.SetDrained(true)
}

func (s *Sidecar) setAway(on bool) {
	if s.away == on {
		return
	}
	s.away = on
	s.log.Info("drain by hand", "on", on, "links", len(s.clients))
	if on {
		s.timers.schedule(s.now()+stragglersS, s.thin)
	}
}

// thin ends idle links until the drain is over.
func (s *Sidecar) thin() {
	if s.away && !s.draining {
		s.endIdle()
		s.timers.schedule(s.now()+drainEveryS, s.thin)
	}
}

// UndrainByOperator ends a drain by hand.
func (s *Sidecar) UndrainByOperator() error {
	if s.draining {
		return errEnding
	}
	s.setAway(false)
	return s.shelf.SetDrained(false)
}

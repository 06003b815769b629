package sidecar

import (
	"net/netip"

	"hazelwheel/internal/health"
)

// heartbeatIntervalSeconds is the time between two heartbeats of the event loop.
const heartbeatIntervalSeconds = 0.1

// publishHealth publishes the loop's state to the health port, periodically. Danger: the port must respond while the loop stalls, so it
// never calls the loop.
func (s *Sidecar) publishHealth() {
	now := s.now()
	s.healthServer.Publish(health.Snapshot{
		TakenAt:       now,
		ListReadAt:    s.discovery.listReadAt,
		Started:       s.discovery.isListRead,
		Draining:      s.lifecycle.closesAfterResponse(),
		UsableServers: s.balancer.UsableHosts(now),
		Inflight:      s.counters.OpenRequests,
	})
	s.timers.schedule(now+heartbeatIntervalSeconds, s.publishHealth)
}

// ListenHealth opens the health port on the host of the listen address, if there is one.
func (s *Sidecar) ListenHealth() error {
	if s.healthServer == nil {
		return nil
	}
	a, err := netip.ParseAddrPort(s.cfg.Listen)
	if err != nil {
		return err
	}
	return s.healthServer.Listen(a.Addr().String())
}

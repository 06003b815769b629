package sidecar

import (
	"net/netip"

	"hazelwheel/internal/health"
)

// heartbeatIntervalSeconds is the interval at which the event loop publishes its state to the health port.
const heartbeatIntervalSeconds = 0.1

// publishHealth periodically publishes the loop's state to the health port, which must respond even while the loop stalls and therefore
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

// ListenHealth opens the health port on the host of the listen address, if the health port is enabled.
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

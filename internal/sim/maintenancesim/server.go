package maintenancesim

import (
	"slices"

	"hazelwheel/internal/decide/maintenance"
)

// server is a server as it is, whatever sidecars and plans know of it.
type server struct {
	name, site, serverType string
	capacity               float64
	isDown                 bool // it answers no request
	isUnlisted             bool // it is on no endpoint list
	isDraining             bool // the endpoint lists mark it as draining
	warmUntil              float64
	inFlight               int      // requests
	lastUsedAt             float64  // when a request last began or ended
	lastUser               *sidecar // whose it was
	agent                  *agent   // that works on it, under token
	token                  uint64
}

func (b *server) isUnavailable() bool { return b.isDown || b.isUnlisted || b.isDraining }

func (s *Simulation) serverByName(name string) *server {
	return s.servers[slices.IndexFunc(s.servers, func(b *server) bool { return b.name == name })]
}

// serverStatuses returns what all sidecars together report of the servers.
func (s *Simulation) serverStatuses() (all []maintenance.ServerStatus) {
	up := 0
	for _, n := range s.sidecars {
		if n.isRunning {
			up++
		}
	}
	serving := 0
	for _, b := range s.servers {
		if !b.isDown && b.agent == nil {
			serving++
		}
	}
	for _, b := range s.servers {
		status := maintenance.ServerStatus{Server: b.name, Site: b.site, Type: b.serverType, Capacity: b.capacity, ListedBy: up, Busy: b.inFlight > 0}
		if b.isUnlisted {
			status.ListedBy = 0
		}
		if b.isDraining {
			status.DrainingBy = up
		}
		if b.isDown {
			status.UnresponsiveBy = up
		} else {
			status.CompletedPerSecond = s.requestsPerSecond / float64(max(serving, 1))
		}
		if b.warmUntil > s.Now() {
			status.WarmingUpBy = up
		}
		all = append(all, status)
	}
	return all
}

package maintenancesim

import (
	"slices"

	"hazelwheel/internal/decide/maintenance"
)

type server struct {
	name, site, serverType string
	capacity               float64
	isDown                 bool // it answers nobody
	isUnlisted             bool
	isDraining             bool
	warmUntil              float64
	inFlight               int     // executions that are out there
	lastUsedAt             float64 // when something new came, or ended
	lastUser               *sidecar
	agent                  *agent // who works on it,
	token                  uint64 // under which
}

func (b *server) isUnavailable() bool { return b.isDown || b.isUnlisted || b.isDraining }

func (w *Simulation) serverByName(name string) *server {
	return w.servers[slices.IndexFunc(w.servers, func(b *server) bool { return b.name == name })]
}

// seen is what all say of the boxes.
func (w *Simulation) serverStatuses() (all []maintenance.ServerStatus) {
	up := 0
	for _, n := range w.sidecars {
		if n.isRunning {
			up++
		}
	}
	serve := 0
	for _, b := range w.servers {
		if !b.isDown && b.agent == nil {
			serve++
		}
	}
	for _, b := range w.servers {
		s := maintenance.ServerStatus{Server: b.name, Site: b.site, Type: b.serverType, Capacity: b.capacity, ListedBy: up, Busy: b.inFlight > 0}
		if b.isUnlisted {
			s.ListedBy = 0
		}
		if b.isDraining {
			s.DrainingBy = up
		}
		if b.isDown {
			s.UnresponsiveBy = up
		} else {
			s.CompletedPerSecond = w.requestsPerSecond / float64(max(serve, 1))
		}
		if b.warmUntil > w.Now() {
			s.WarmingUpBy = up
		}
		all = append(all, s)
	}
	return all
}

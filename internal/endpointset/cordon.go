package endpointset

import (
	"errors"
	"maps"
	"slices"

	"hazelwheel/policy"
)

// ErrUnlisted is returned for a server that no list has named. Its text is part of the answers to operators.
var ErrUnlisted = errors.New("no such server is listed")

// isOutOfUse returns whether a server is cordoned, or under maintenance and not kept in use. What an operator of this sidecar
// said last overrides the maintenance.
func (g *Set) isOutOfUse(h *Host) bool {
	return g.cordonedAt[h.Name] > 0 || g.maintenanceSince[h.Name] > 0 && !g.keptInUse[h.Name]
}

// IsCordoned returns whether an operator of this sidecar has cordoned a server.
func (g *Set) IsCordoned(name string) bool { return g.cordonedAt[name] > 0 }

// Cordoned returns the names of all cordoned servers, sorted.
func (g *Set) Cordoned() []string { return slices.Sorted(maps.Keys(g.cordonedAt)) }

// Cordon takes a server out of use until Uncordon, whatever is listed of it meanwhile, and returns its new entry for package
// policy. It fails with ErrUnlisted. A cordon that holds already stays.
func (g *Set) Cordon(name string, now float64) (policy.HostInfo, error) {
	h := g.byName[name]
	if h == nil {
		return policy.HostInfo{}, ErrUnlisted
	}
	g.CordonName(name, now)
	return g.effectiveInfo(h), nil
}

// CordonName cordons a server that the list need not have named yet. A cordon that holds already stays.
func (g *Set) CordonName(name string, now float64) {
	delete(g.keptInUse, name)
	if g.cordonedAt[name] == 0 {
		g.cordonedAt[name] = now
	}
}

// Uncordon ends a cordon, and overrides the maintenance of a server that is under it. It returns the server's new entry for package
// policy, and fails with ErrUnlisted.
func (g *Set) Uncordon(name string, now float64) (policy.HostInfo, error) {
	h := g.byName[name]
	if h == nil {
		return policy.HostInfo{}, ErrUnlisted
	}
	outSince := g.cordonedAt[name]
	delete(g.cordonedAt, name)
	if since := g.maintenanceSince[name]; since > 0 && !g.keptInUse[name] {
		g.keptInUse[name] = true
		outSince = max(outSince, since)
	}
	g.returnToUse(h, outSince, now)
	return g.effectiveInfo(h), nil
}

// returnToUse notes that a server is in use again after it was out of use since outSince; 0: it was in use.
//
// Danger: servers are restarted while they are out of use, and the list tells so seconds late; a cold server that is taken for a
// warm one is overloaded. A server without a listed start since outSince therefore counts as started now.
func (g *Set) returnToUse(h *Host, outSince, now float64) {
	if outSince > 0 && h.listing.Started < outSince {
		h.uncordonedAt = now
		h.cordonedAt = outSince
	}
	if h.listedState == policy.Gone {
		h.goneAt = now
	}
}

// SetUnderMaintenance sets the servers that are under maintenance by agreement of all sidecars, in place of those before, whether
// the list has named them or not. It returns the new entries for package policy of those that changed, in order of names.
func (g *Set) SetUnderMaintenance(names []string, now float64) (infos []policy.HostInfo) {
	changed := g.endMaintenance(names, now)
	for _, name := range names {
		if g.maintenanceSince[name] == 0 {
			g.maintenanceSince[name] = now
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	for _, name := range changed {
		if h := g.byName[name]; h != nil {
			infos = append(infos, g.effectiveInfo(h))
		}
	}
	return infos
}

// endMaintenance ends the maintenance of all servers but those in names, and returns which ones are in use again.
func (g *Set) endMaintenance(names []string, now float64) (returned []string) {
	for name, since := range g.maintenanceSince {
		if slices.Contains(names, name) {
			continue
		}
		wasKeptInUse := g.keptInUse[name]
		delete(g.maintenanceSince, name)
		delete(g.keptInUse, name)
		if h := g.byName[name]; h != nil && !wasKeptInUse && g.cordonedAt[name] == 0 {
			g.returnToUse(h, since, now)
			returned = append(returned, name)
		}
	}
	return returned
}

// MaintenanceState returns whether a server is under maintenance, and whether it is kept in use here all the same.
func (g *Set) MaintenanceState(name string) (underMaintenance, keptInUse bool) {
	return g.maintenanceSince[name] > 0, g.keptInUse[name]
}

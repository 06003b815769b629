package endpointset

import (
	"errors"
	"maps"
	"slices"

	"hazelwheel/policy"
)

// ErrUnlisted is returned for a server that no list has contained. Its text is part of responses to operators.
var ErrUnlisted = errors.New("no such server is listed")

// isOutOfUse returns whether a server is cordoned, or under maintenance and not kept in use by an operator of this sidecar. The
// operator's last command takes precedence over the maintenance.
func (g *Set) isOutOfUse(h *Host) bool {
	return g.cordonedAt[h.Name] > 0 || g.maintenanceSince[h.Name] > 0 && !g.keptInUse[h.Name]
}

// IsCordoned returns whether an operator of this sidecar has cordoned a server.
func (g *Set) IsCordoned(name string) bool { return g.cordonedAt[name] > 0 }

// Cordoned returns the names of all cordoned servers, sorted.
func (g *Set) Cordoned() []string { return slices.Sorted(maps.Keys(g.cordonedAt)) }

// Cordon takes a server out of use until Uncordon, whatever its listed state is meanwhile, and returns its new entry for package
// policy. It fails with ErrUnlisted for an unknown server. A server that is cordoned already keeps the start time of its cordon.
func (g *Set) Cordon(name string, now float64) (policy.HostInfo, error) {
	h := g.byName[name]
	if h == nil {
		return policy.HostInfo{}, ErrUnlisted
	}
	g.CordonName(name, now)
	return g.effectiveInfo(h), nil
}

// CordonName is like Cordon for a server that may be unknown so far: the cordon applies once a list contains it.
func (g *Set) CordonName(name string, now float64) {
	delete(g.keptInUse, name)
	if g.cordonedAt[name] == 0 {
		g.cordonedAt[name] = now
	}
}

// Uncordon ends a cordon. A server under maintenance is kept in use from then on. Uncordon returns the server's new entry for package
// policy, and fails with ErrUnlisted for an unknown server.
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

// returnToUse records that a server is in use again after having been out of use since outSince; 0 means that it was in use.
//
// Danger: servers are restarted while they are out of use, and the list shows the restart seconds late. A cold server that is
// treated as a warm one is overloaded. A server without a listed start since outSince therefore counts as started now.
func (g *Set) returnToUse(h *Host, outSince, now float64) {
	if outSince > 0 && h.listing.Started < outSince {
		h.uncordonedAt = now
		h.cordonedAt = outSince
	}
	if h.listedState == policy.Gone {
		h.goneAt = now
	}
}

// SetUnderMaintenance replaces the set of servers under maintenance, on which all sidecars have agreed. It may contain unknown
// servers. It returns the new entries for package policy of the known servers that changed, sorted by name.
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

// endMaintenance ends the maintenance of all servers except those in names, and returns the names of those that are in use again.
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

// MaintenanceState returns whether a server is under maintenance, and whether this sidecar keeps it in use nevertheless.
func (g *Set) MaintenanceState(name string) (underMaintenance, keptInUse bool) {
	return g.maintenanceSince[name] > 0, g.keptInUse[name]
}

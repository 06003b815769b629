package endpointset

import (
	"errors"
	"maps"
	"slices"

	"hazelwheel/policy"
)

// banned tells whether a server is out, by hand or by agreement; what was said by hand here goes before.
func (g *Set) banned(h *Host) bool {
	return g.bans[h.Name] > 0 || g.agreed[h.Name] > 0 && !g.kept[h.Name]
}

// ErrUnlisted is the answer to who names a server that no list has named.
var ErrUnlisted = errors.New("no such server is listed")

// Ban takes a server out of use until Lift, whatever the list says of it meanwhile. What the decisions are to be told
// is returned. A ban that is there already stays.
func (g *Set) Cordon(name string, now float64) (policy.HostInfo, error) {
	h := g.byName[name]
	if h == nil {
		return policy.HostInfo{}, ErrUnlisted
	}
	g.CordonName(name, now)
	return g.told(h), nil
}

// Lift ends a ban, if there is one. Danger: servers are restarted while they are banned, and the list tells of it seconds
// late; a cold one that is taken for warm is pushed over. So one that the list has not called newer since the ban
// began counts as started now.
func (g *Set) Uncordon(name string, now float64) (policy.HostInfo, error) {
	h := g.byName[name]
	if h == nil {
		return policy.HostInfo{}, ErrUnlisted
	}
	at := g.bans[name]
	delete(g.bans, name)
	if since := g.agreed[name]; since > 0 && !g.kept[name] {
		g.kept[name] = true
		at = max(at, since)
	}
	g.lifted(h, at, now)
	return g.told(h), nil
}

// lifted takes that a server is no longer out, and was since a time; 0: it was not.
func (g *Set) lifted(h *Host, at, now float64) {
	if at > 0 && h.info.Started < at {
		h.liftAt, h.banAt = now, at
	}
	if h.listed == policy.Gone {
		h.goneAt = now
	}
}

// Agree has servers be out that all sidecars have agreed on: exactly these, in place of those before, whether a list has named them
// or not. What the decisions are to be told is returned, by name.
func (g *Set) SetUnderMaintenance(names []string, now float64) (infos []policy.HostInfo) {
	var changed []string
	for name, at := range g.agreed {
		if !slices.Contains(names, name) {
			was := g.kept[name]
			delete(g.agreed, name)
			delete(g.kept, name)
			if h := g.byName[name]; h != nil && !was && g.bans[name] == 0 {
				g.lifted(h, at, now)
				changed = append(changed, name)
			}
		}
	}
	for _, name := range names {
		if g.agreed[name] == 0 {
			g.agreed[name] = now
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	for _, name := range changed {
		if h := g.byName[name]; h != nil {
			infos = append(infos, g.told(h))
		}
	}
	return infos
}

// Agreed tells whether a server is out by agreement, and whether it was given back here by hand all the same.
func (g *Set) MaintenanceState(name string) (out, kept bool) { return g.agreed[name] > 0, g.kept[name] }

// ByHand tells whether a server is out by hand.
func (g *Set) IsCordoned(name string) bool { return g.bans[name] > 0 }

// Hold bans a server that no list need have named yet. A ban that is there already stays.
func (g *Set) CordonName(name string, now float64) {
	delete(g.kept, name) // what was said last by hand holds
	if g.bans[name] == 0 {
		g.bans[name] = now
	}
}

// Bans returns the names of all that are banned, sorted.
func (g *Set) Cordoned() []string { return slices.Sorted(maps.Keys(g.bans)) }

package endpointset

import (
	"maps"
	"slices"

	"hazelwheel/policy"
)

// forgetSeconds is how long a server that is gone is remembered. It must be longer than in package policy.
const forgetSeconds = 600

// Set is the set of known servers, with their cordons and maintenance.
type Set struct {
	byName map[string]*Host
	byID   map[uint32]*Host
	zones  numbering
	types  numbering

	index    uint64 // version of the list
	hasIndex bool

	// By server name; may contain servers that no list has contained yet.
	cordonedAt       map[string]float64 // when an operator of this sidecar cordoned the server
	maintenanceSince map[string]float64 // since when the server has been under maintenance, on which all sidecars have agreed
	keptInUse        map[string]bool    // servers under maintenance that an operator of this sidecar has uncordoned

	checksum    uint64 // valid if hasChecksum
	hasChecksum bool
}

// numbering assigns numbers to names in order of their first use.
type numbering map[string]int

func (n numbering) number(name string) int {
	i, ok := n[name]
	if !ok {
		i = len(n)
		n[name] = i
	}
	return i
}

// New returns an empty set. zones and types are the names in the settings, which get the first numbers in policy.HostInfo; names that
// occur only in the list get the next ones.
func New(zones, types []string) *Set {
	g := &Set{
		byName:           map[string]*Host{},
		byID:             map[uint32]*Host{},
		zones:            numbering{},
		types:            numbering{},
		cordonedAt:       map[string]float64{},
		maintenanceSince: map[string]float64{},
		keptInUse:        map[string]bool{},
	}
	for _, zone := range zones {
		g.zones.number(zone)
	}
	for _, hostType := range types {
		g.types.number(hostType)
	}
	return g
}

// Index returns the version of the list; ok is false if there is none.
func (g *Set) Index() (index uint64, ok bool) { return g.index, g.hasIndex }

// ForgetIndex drops the version and keeps the list. It is called when the discovery server changes, since each numbers its versions
// independently.
func (g *Set) ForgetIndex() { g.hasIndex = false }

// Len returns how many servers are known.
func (g *Set) Len() int { return len(g.byID) }

// Host returns the server with an ID, or nil if it is unknown.
func (g *Set) Host(id uint32) *Host { return g.byID[id] }

// Names calls yield with the ID and the name of each known server, in order of IDs.
func (g *Set) Names(yield func(id uint32, name string) bool) {
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		if !yield(id, g.byID[id].Name) {
			return
		}
	}
}

// Listed calls yield with each server that is listed and not gone, in unspecified order.
func (g *Set) Listed(yield func(*Host) bool) {
	for _, h := range g.byID {
		if h.listedState != policy.Gone && !yield(h) {
			return
		}
	}
}

// Apply applies an object of the watch stream, a snapshot or a delta. It returns the entries for policy.Balancer.UpdateHosts. If it
// returns an error, which is ErrNoEndpoints for a snapshot without endpoints, the set is unchanged.
func (g *Set) Apply(raw []byte, now float64) (snapshot bool, infos []policy.HostInfo, err error) {
	l, err := parseList(raw)
	if err != nil {
		return false, nil, err
	}
	// Danger: a snapshot without endpoints, such as one that is truncated or has a misspelled field name, must not be treated as an empty list:
	// all servers would be marked as gone.
	if l.Snapshot && l.Endpoints == nil {
		return false, nil, ErrNoEndpoints
	}
	return l.Snapshot, g.apply(l, now), nil
}

// ApplyCached applies a list that was encoded by Export or Snapshot, here or at another sidecar. Unlike for Apply, it may lack endpoints.
func (g *Set) ApplyCached(raw []byte, now float64) ([]policy.HostInfo, error) {
	l, err := parseList(raw)
	if err != nil {
		return nil, err
	}
	return g.apply(l, now), nil
}

func (g *Set) apply(l *list, now float64) (infos []policy.HostInfo) {
	// Servers out of use that the snapshot does not contain. They get an entry as well: without one they would count as gone instead of draining.
	missing := map[string]*Host{}
	if l.Snapshot {
		for _, h := range g.byName {
			g.markGone(h, now)
			if g.isOutOfUse(h) {
				missing[h.Name] = h
			}
		}
	}
	for _, e := range l.Endpoints {
		if e.Name == "" {
			continue // an entry without a name refers to no server
		}
		h := g.updateHost(e, l.UncordonedAt[e.Name], now)
		infos = append(infos, g.effectiveInfo(h))
		delete(missing, h.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		infos = append(infos, g.effectiveInfo(missing[name]))
	}
	g.forgetGone(now)
	g.index = l.Index
	g.hasIndex = true
	g.hasChecksum = false
	return infos
}

// updateHost applies an entry of a list. uncordonedAt is the value in an export, or 0.
func (g *Set) updateHost(e endpoint, uncordonedAt, now float64) *Host {
	h := g.byName[e.Name]
	if h == nil {
		h = &Host{ID: g.freeID(e.Name), Name: e.Name}
		g.byName[h.Name] = h
		g.byID[h.ID] = h
	}
	switch e.Status {
	case statusServing:
		h.listedState = policy.Ready
	case statusDeleted:
		g.markGone(h, now)
	default: // draining, or a status of a later program version: no new requests
		h.listedState = policy.Draining
	}
	if e.Address != "" {
		h.Address = e.Address
	}
	h.entry = e
	h.uncordonedAt = max(h.uncordonedAt, uncordonedAt)
	if e.SinceMS/1000 > h.cordonedAt && h.cordonedAt > 0 && !g.isOutOfUse(h) {
		h.uncordonedAt, h.cordonedAt = 0, 0 // the list shows a restart since then
	}
	h.listing = policy.HostInfo{
		ID:      h.ID,
		Zone:    g.zones.number(e.Zone),
		Kind:    g.types.number(e.Type),
		Cell:    e.Group,
		Size:    max(e.Weight, 0),
		Started: max(e.SinceMS, 0) / 1000,
	}
	return h
}

// forgetGone removes servers that have been gone for forgetSeconds, unless they are out of use: their cordon or maintenance
// must still apply when they are listed again.
func (g *Set) forgetGone(now float64) {
	for name, h := range g.byName {
		if h.listedState == policy.Gone && !g.isOutOfUse(h) && now-h.goneAt > forgetSeconds {
			delete(g.byName, name)
			delete(g.byID, h.ID)
		}
	}
}

// markGone records that a server is gone according to the list.
func (g *Set) markGone(h *Host, now float64) {
	if h.listedState != policy.Gone {
		h.listedState = policy.Gone
		h.goneAt = now
	}
	g.effectiveInfo(h)
}

// effectiveInfo updates a server's State and returns its entry for package policy: the listed one, but draining while the server is out of use.
func (g *Set) effectiveInfo(h *Host) policy.HostInfo {
	h.State = h.listedState
	if g.isOutOfUse(h) {
		h.State = policy.Draining
	}
	info := h.listing
	info.State = h.State
	info.Started = max(info.Started, h.uncordonedAt)
	return info
}

// freeID returns the ID of a name, or the next free ID if another name has it. Only in that case do IDs depend on the order of arrival.
func (g *Set) freeID(name string) uint32 {
	id := ID(name)
	for g.byID[id] != nil {
		id++
	}
	return id
}

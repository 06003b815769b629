package endpointset

import (
	"maps"
	"slices"

	"hazelwheel/policy"
)

// forgetAfterS is how long a server that has gone is remembered. The decisions forget it sooner.
const forgetAfterS = 600

// Set is the list of servers.
type Set struct {
	byName map[string]*Host
	byID   map[uint32]*Host
	zones  numbers
	types  numbers
	index  uint64
	held   bool
	bans   map[string]float64 // since when, by name; also of servers that no list has named yet
	agreed map[string]float64 // the same of those that are out by agreement of all sidecars
	kept   map[string]bool    // of these, such as were given back here by hand
	sum    uint64             // of the list, once it was asked for
	summed bool
}

// numbers gives names their numbers; a name that the settings do not list gets the next one.
type numbers map[string]int

func (n numbers) of(name string) int {
	i, ok := n[name]
	if !ok {
		i = len(n)
		n[name] = i
	}
	return i
}

// New returns an empty set; zones and types are the settings' names.
func New(zones, types []string) *Set {
	g := &Set{byName: map[string]*Host{}, byID: map[uint32]*Host{}, zones: numbers{}, types: numbers{},
		bans: map[string]float64{}, agreed: map[string]float64{}, kept: map[string]bool{}}
	for _, z := range zones {
		g.zones.of(z)
	}
	for _, t := range types {
		g.types.of(t)
	}
	return g
}

// Index returns the version of the list that is held; ok is false while there is none.
func (g *Set) Index() (index uint64, ok bool) { return g.index, g.held }

// Unversion keeps the list and drops its version: another discovery service counts its own.
func (g *Set) ForgetIndex() { g.held = false }

// Len returns how many servers are known.
func (g *Set) Len() int { return len(g.byID) }

// Host returns the server with an id, nil if it is unknown.
func (g *Set) Host(id uint32) *Host { return g.byID[id] }

// Names calls yield with the id and the name of each server that is known, by id.
func (g *Set) Names(yield func(id uint32, name string) bool) {
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		if !yield(id, g.byID[id].Name) {
			return
		}
	}
}

// Listed calls yield with each server that is on the list, in no order: it is for counting.
func (g *Set) Listed(yield func(*Host) bool) {
	for _, h := range g.byID {
		if h.listed != policy.Gone && !yield(h) {
			return
		}
	}
}

// Apply takes one object of discovery. The times of the result are in seconds of Unix time, as now is.
func (g *Set) Apply(raw []byte, now float64) (snapshot bool, infos []policy.HostInfo, err error) {
	l, err := parseList(raw)
	if err != nil {
		return false, nil, err
	}
	// Danger: taken for an empty one, a whole list that was cut short or spelt otherwise would make all servers gone.
	if l.Snapshot && l.Endpoints == nil {
		return false, nil, ErrNoEndpoints
	}
	return l.Snapshot, g.apply(l, now), nil
}

// ApplyKnown takes the list that was held last, which may be empty in any form.
func (g *Set) ApplyCached(raw []byte, now float64) ([]policy.HostInfo, error) {
	l, err := parseList(raw)
	if err != nil {
		return nil, err
	}
	return g.apply(l, now), nil
}

func (g *Set) apply(l *list, now float64) (infos []policy.HostInfo) {
	missing := map[string]*Host{} // of the banned ones: who is not in a whole list would count as gone
	if l.Snapshot {
		for _, h := range g.byName {
			if g.leave(h, now); g.banned(h) {
				missing[h.Name] = h
			}
		}
	}
	for _, e := range l.Endpoints {
		if e.Name == "" {
			continue // nothing can be said of a server without a name
		}
		h := g.byName[e.Name]
		if h == nil {
			h = &Host{ID: g.freeID(e.Name), Name: e.Name}
			g.byName[h.Name], g.byID[h.ID] = h, h
		}
		switch e.Status {
		case "SERVING":
			h.listed = policy.Ready
		case "DELETED":
			g.leave(h, now)
		default: // DRAINING, or a status of later days: nothing new goes there
			h.listed = policy.Draining
		}
		if e.Address != "" {
			h.Address = e.Address
		}
		h.entry, h.liftAt = e, max(h.liftAt, l.Lifted[e.Name])
		if e.SinceMS/1000 > h.banAt && h.banAt > 0 && !g.banned(h) {
			h.liftAt, h.banAt = 0, 0 // the list knows by now when it was restarted
		}
		h.info = policy.HostInfo{ID: h.ID, Zone: g.zones.of(e.Zone), Kind: g.types.of(e.Type), Cell: e.Group,
			Size: max(e.Weight, 0), Started: max(e.SinceMS, 0) / 1000}
		infos = append(infos, g.told(h))
		delete(missing, h.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		infos = append(infos, g.told(missing[name]))
	}
	for name, h := range g.byName {
		if h.listed == policy.Gone && !g.banned(h) && now-h.goneAt > forgetAfterS {
			delete(g.byName, name)
			delete(g.byID, h.ID)
		}
	}
	g.index, g.held, g.summed = l.Index, true, false
	return infos
}

func (g *Set) leave(h *Host, now float64) {
	if h.listed != policy.Gone {
		h.listed, h.goneAt = policy.Gone, now
	}
	g.told(h)
}

// told returns what the decisions are told of a server: what the list says, under the ban if there is one.
func (g *Set) told(h *Host) policy.HostInfo {
	if h.State = h.listed; g.banned(h) {
		h.State = policy.Draining
	}
	info := h.info
	info.State, info.Started = h.State, max(info.Started, h.liftAt)
	return info
}

// freeID returns the id of a name. Should another name hold it, the next free one is taken: then alone the
// order of arrival matters.
func (g *Set) freeID(name string) uint32 {
	id := ID(name)
	for g.byID[id] != nil {
		id++
	}
	return id
}

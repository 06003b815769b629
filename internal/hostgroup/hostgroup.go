// Package hostgroup keeps the list of servers as discovery tells it, and turns it into what the decisions
// read. It knows no sockets.
package hostgroup

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"

	"hazelwheel/policy"
)

// forgetAfterS is how long a server that has gone is remembered. The decisions forget it sooner.
const forgetAfterS = 600

// Host is one server.
type Host struct {
	ID      uint32
	Name    string
	Address string
	State   policy.HostState
	goneAt  float64
}

// list is one object of discovery.
type list struct {
	Index     uint64
	Snapshot  bool
	Endpoints []struct {
		Name, Address, Zone, Type, Status string
		Group                             int
		Weight                            float64
		SinceMS                           float64 `json:"since_ms"`
	}
}

// Group is the list of servers.
type Group struct {
	byName map[string]*Host
	byID   map[uint32]*Host
	zones  numbers
	types  numbers
	index  uint64
	held   bool
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

// New returns an empty group; zones and types are the settings' names.
func New(zones, types []string) *Group {
	g := &Group{byName: map[string]*Host{}, byID: map[uint32]*Host{}, zones: numbers{}, types: numbers{}}
	for _, z := range zones {
		g.zones.of(z)
	}
	for _, t := range types {
		g.types.of(t)
	}
	return g
}

// Index returns the version of the list that is held; ok is false while there is none.
func (g *Group) Index() (index uint64, ok bool) { return g.index, g.held }

// Unversion keeps the list and drops its version: another discovery service counts its own.
func (g *Group) Unversion() { g.held = false }

// Len returns how many servers are known.
func (g *Group) Len() int { return len(g.byID) }

// Host returns the server with an id, nil if it is unknown.
func (g *Group) Host(id uint32) *Host { return g.byID[id] }

// Names calls yield with the id and the name of each server that is known, by id.
func (g *Group) Names(yield func(id uint32, name string) bool) {
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		if !yield(id, g.byID[id].Name) {
			return
		}
	}
}

// Apply takes one object of discovery. The times of the result are in seconds of Unix time, as now is.
func (g *Group) Apply(raw []byte, now float64) (snapshot bool, infos []policy.HostInfo, err error) {
	var l list
	if err := json.Unmarshal(raw, &l); err != nil {
		return false, nil, fmt.Errorf("host group: %w", err)
	}
	if l.Snapshot {
		for _, h := range g.byName {
			h.leave(now)
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
			h.State = policy.Ready
		case "DELETED":
			h.leave(now)
		default: // DRAINING, or a status of later days: nothing new goes there
			h.State = policy.Draining
		}
		if e.Address != "" {
			h.Address = e.Address
		}
		infos = append(infos, policy.HostInfo{
			ID: h.ID, Zone: g.zones.of(e.Zone), Kind: g.types.of(e.Type), Cell: e.Group,
			State: h.State, Size: max(e.Weight, 0), Started: max(e.SinceMS, 0) / 1000,
		})
	}
	for name, h := range g.byName {
		if h.State == policy.Gone && now-h.goneAt > forgetAfterS {
			delete(g.byName, name)
			delete(g.byID, h.ID)
		}
	}
	g.index, g.held = l.Index, true
	return l.Snapshot, infos, nil
}

func (h *Host) leave(now float64) {
	if h.State != policy.Gone {
		h.State, h.goneAt = policy.Gone, now
	}
}

// freeID returns the id of a name. Should another name hold it, the next free one is taken: then alone the
// order of arrival matters.
func (g *Group) freeID(name string) uint32 {
	id := ID(name)
	for g.byID[id] != nil {
		id++
	}
	return id
}

// ID derives a server's id from its name alone, so that all sidecars, also after a restart, order the
// servers alike: the even subsets rest on that. A name that ends in eight hexadecimal digits brings an id
// that no other such name has; any other is hashed.
func ID(name string) uint32 {
	if i := strings.LastIndexByte(name, '-'); len(name)-i-1 == 8 {
		if id, err := strconv.ParseUint(name[i+1:], 16, 32); err == nil {
			return uint32(id)
		}
	}
	sum := fnv.New32a()
	sum.Write([]byte(name)) // never fails
	return sum.Sum32()
}

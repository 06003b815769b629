// Package endpointset keeps the list of servers as discovery tells it, and turns it into what the decisions
// read. It knows no sockets.
package endpointset

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
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
	State   policy.HostState // as it is to be used: a banned one drains, whatever the list says
	info    policy.HostInfo  // as it was listed last
	entry   endpoint
	listed  policy.HostState
	goneAt  float64
	banAt   float64 // when its last ban began, while liftAt stands for its start
	liftAt  float64 // when its last ban ended: unless the list knows better it has been started by then
}

// ErrNoEndpoints is the fault of a whole list that does not say which servers there are.
var ErrNoEndpoints = errors.New("endpoint set: endpoints: missing in a whole list")

// list is one object of discovery.
type list struct {
	Index     uint64             `json:"Index"`
	Snapshot  bool               `json:"Snapshot"`
	Endpoints endpoints          `json:"Endpoints"`
	Lifted    map[string]float64 `json:"Lifted,omitempty"` // in an export alone: Host.liftAt by name
}

// endpoints are the entries of a list; nil: the list has no such field.
type endpoints []endpoint

// UnmarshalJSON takes null for no entries, which a service may write.
func (e *endpoints) UnmarshalJSON(raw []byte) error {
	all := []endpoint{}
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	if *e = all; all == nil {
		*e = endpoints{}
	}
	return nil
}

// endpoint is one server as discovery lists it.
type endpoint struct {
	Name    string  `json:"Name"`
	Address string  `json:"Address"`
	Zone    string  `json:"Zone"`
	Type    string  `json:"Type"`
	Status  string  `json:"Status"`
	Group   int     `json:"Group"`
	Weight  float64 `json:"Weight"`
	SinceMS float64 `json:"since_ms"`
}

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

func parseList(raw []byte) (*list, error) {
	var l list
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, fmt.Errorf("endpoint set: %w", err)
	}
	return &l, nil
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

// banned tells whether a server is out, by hand or by agreement; what was said by hand here goes before.
func (g *Set) banned(h *Host) bool {
	return g.bans[h.Name] > 0 || g.agreed[h.Name] > 0 && !g.kept[h.Name]
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

// Known is what the list says of a server.
type Listing struct {
	Zone, Type           string
	Weight, StartedAt    float64 // of Started the later of the list's word and of when it was given back
	IsListed, IsDraining bool
}

// Known returns what the list says, whatever bans there are.
func (h *Host) Listing() Listing {
	return Listing{h.entry.Zone, h.entry.Type, max(h.entry.Weight, 0), max(h.info.Started, h.liftAt), h.listed != policy.Gone, h.listed == policy.Draining}
}

// Hold bans a server that no list need have named yet. A ban that is there already stays.
func (g *Set) CordonName(name string, now float64) {
	delete(g.kept, name) // what was said last by hand holds
	if g.bans[name] == 0 {
		g.bans[name] = now
	}
}

// Bans returns the names of all that are banned, sorted.
func (g *Set) Cordoned() []string { return slices.Sorted(maps.Keys(g.bans)) }

// Export returns what is known of all servers, for Import. Bans are not in it.
func (g *Set) Export() json.RawMessage {
	l := list{Index: g.index, Snapshot: true, Lifted: map[string]float64{}}
	for id := range g.Names {
		h := g.byID[id]
		e := h.entry
		e.Name, e.Address, e.Status = h.Name, h.Address, [...]string{"DELETED", "SERVING", "DRAINING"}[h.listed]
		if l.Endpoints = append(l.Endpoints, e); h.liftAt > 0 {
			l.Lifted[h.Name] = h.liftAt
		}
	}
	raw, err := json.Marshal(l)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return raw
}

// Whole returns the list that is held as discovery would write it: what has gone is left out, and bans are not in it.
func (g *Set) Snapshot() json.RawMessage {
	l := list{Index: g.index, Snapshot: true, Endpoints: []endpoint{}}
	for id := range g.Names {
		if h := g.byID[id]; h.listed != policy.Gone {
			e := h.entry
			e.Address, e.Status = h.Address, [...]string{policy.Ready: "SERVING", policy.Draining: "DRAINING"}[h.listed]
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	raw, err := json.Marshal(l)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return raw
}

// Sum returns the same number for lists that say the same, whoever told them and in whatever pieces.
func (g *Set) Checksum() uint64 {
	if g.summed {
		return g.sum
	}
	sum := fnv.New64a()
	var b []byte
	for id := range g.Names {
		h := g.byID[id]
		if h.listed == policy.Gone {
			continue
		}
		e := &h.entry
		b = append(b[:0], byte(h.listed))
		for _, s := range [...]string{h.Name, h.Address, e.Zone, e.Type} {
			b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
		}
		b = binary.AppendVarint(b, int64(e.Group))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(e.Weight))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(e.SinceMS))
		sum.Write(b) // never fails
	}
	g.sum, g.summed = sum.Sum64(), true
	return g.sum
}

// Heading returns the index of an object of discovery, and whether it is a whole list, without taking it.
func ParseHeader(raw []byte) (index uint64, snapshot bool, err error) {
	var l struct {
		Index    uint64 `json:"Index"`
		Snapshot bool   `json:"Snapshot"`
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return 0, false, fmt.Errorf("endpoint set: %w", err)
	}
	return l.Index, l.Snapshot, nil
}

// Listed calls yield with each server that is on the list, in no order: it is for counting.
func (g *Set) Listed(yield func(*Host) bool) {
	for _, h := range g.byID {
		if h.listed != policy.Gone && !yield(h) {
			return
		}
	}
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

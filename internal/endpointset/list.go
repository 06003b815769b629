package endpointset

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"

	"hazelwheel/policy"
)

// ErrNoEndpoints is returned for a snapshot without endpoints.
var ErrNoEndpoints = errors.New("endpoint set: snapshot without endpoints")

// The statuses of servers in service discovery.
const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
)

// statuses are the statuses for encoding, indexed by state.
var statuses = [...]string{policy.Gone: statusDeleted, policy.Ready: statusServing, policy.Draining: statusDraining}

// list is an object of the watch stream: a snapshot, or a delta with the changes since another version. Snapshot and Export encode it
// as well. Names of fields are matched without regard to case, as encoding/json does.
type list struct {
	Index        uint64             `json:"Index"`
	Snapshot     bool               `json:"Snapshot"`
	Endpoints    endpoints          `json:"Endpoints"`
	UncordonedAt map[string]float64 `json:"Lifted,omitempty"` // only in an export: Host.uncordonedAt by name
}

// endpoints are the entries of a list. They are nil only if the list has no such field.
type endpoints []endpoint

// UnmarshalJSON decodes null as an empty list instead of nil.
func (e *endpoints) UnmarshalJSON(raw []byte) error {
	all := []endpoint{}
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	if all == nil {
		all = []endpoint{}
	}
	*e = all
	return nil
}

// endpoint is a server in the format of service discovery.
type endpoint struct {
	Name    string  `json:"Name"`
	Address string  `json:"Address"`
	Zone    string  `json:"Zone"`
	Type    string  `json:"Type"`
	Status  string  `json:"Status"`
	Group   int     `json:"Group"`
	Weight  float64 `json:"Weight"`
	SinceMS float64 `json:"since_ms"` // time of the last start, milliseconds of Unix time
}

func parseList(raw []byte) (*list, error) {
	var l list
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, fmt.Errorf("endpoint set: %w", err)
	}
	return &l, nil
}

// ParseHeader returns the version of an object of the watch stream, and whether it is a snapshot, without applying it.
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

// Export returns all known servers, to be applied by a successor with ApplyCached. It does not contain cordons and maintenance.
func (g *Set) Export() json.RawMessage {
	l := list{Index: g.index, Snapshot: true, UncordonedAt: map[string]float64{}}
	for id := range g.Names {
		h := g.byID[id]
		e := h.entry
		e.Name = h.Name
		e.Address = h.Address
		e.Status = statuses[h.listedState]
		l.Endpoints = append(l.Endpoints, e)
		if h.uncordonedAt > 0 {
			l.UncordonedAt[h.Name] = h.uncordonedAt
		}
	}
	return l.marshal()
}

// Snapshot returns the list in the format of service discovery. It contains neither servers that are gone nor cordons.
func (g *Set) Snapshot() json.RawMessage {
	l := list{Index: g.index, Snapshot: true, Endpoints: []endpoint{}}
	for id := range g.Names {
		h := g.byID[id]
		if h.listedState == policy.Gone {
			continue
		}
		e := h.entry
		e.Address = h.Address
		e.Status = statuses[h.listedState]
		l.Endpoints = append(l.Endpoints, e)
	}
	return l.marshal()
}

func (l *list) marshal() json.RawMessage {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(err) // can't happen: a parsed list contains only strings and finite numbers
	}
	return raw
}

// Checksum returns the same number for lists with the same content, by whichever snapshots and deltas they were built. Sidecars of
// different program versions compare checksums, so the input of the hash must not change.
func (g *Set) Checksum() uint64 {
	if g.hasChecksum {
		return g.checksum
	}
	hash := fnv.New64a()
	var buf []byte
	for id := range g.Names {
		h := g.byID[id]
		if h.listedState == policy.Gone {
			continue
		}
		e := &h.entry
		buf = append(buf[:0], byte(h.listedState))
		for _, text := range [...]string{h.Name, h.Address, e.Zone, e.Type} {
			buf = binary.AppendUvarint(buf, uint64(len(text)))
			buf = append(buf, text...)
		}
		buf = binary.AppendVarint(buf, int64(e.Group))
		buf = binary.BigEndian.AppendUint64(buf, math.Float64bits(e.Weight))
		buf = binary.BigEndian.AppendUint64(buf, math.Float64bits(e.SinceMS))
		hash.Write(buf) // never fails
	}
	g.checksum = hash.Sum64()
	g.hasChecksum = true
	return g.checksum
}

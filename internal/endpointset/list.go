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

func parseList(raw []byte) (*list, error) {
	var l list
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, fmt.Errorf("endpoint set: %w", err)
	}
	return &l, nil
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

package endpointset

import (
	"hash/fnv"
	"strconv"
	"strings"

	"hazelwheel/policy"
)

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

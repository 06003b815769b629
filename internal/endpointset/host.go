package endpointset

import (
	"hash/fnv"
	"strconv"
	"strings"

	"hazelwheel/policy"
)

// Host is a known server. Its fields are read-only outside this package.
type Host struct {
	ID      uint32
	Name    string
	Address string
	State   policy.HostState // effective state: draining while the server is cordoned or under maintenance, otherwise the listed one

	listing      policy.HostInfo  // the last list entry, converted, without State
	entry        endpoint         // the last list entry as received
	listedState  policy.HostState // state by the list
	goneAt       float64          // when it was listed as gone, or when it returned to use while listed as gone
	cordonedAt   float64          // start of the last period out of use; valid while uncordonedAt is not 0
	uncordonedAt float64          // end of the last period out of use, which counts as start time unless the list has a later one; 0: none
}

// Listing is the information about a server from service discovery.
type Listing struct {
	Zone, Type           string
	Weight               float64
	StartedAt            float64 // the later of the listed start and the end of its last period out of use
	IsListed, IsDraining bool
}

// Listing returns the listed information about the server. Cordons and maintenance do not affect it, except StartedAt.
func (h *Host) Listing() Listing {
	return Listing{
		Zone:       h.entry.Zone,
		Type:       h.entry.Type,
		Weight:     max(h.entry.Weight, 0),
		StartedAt:  max(h.listing.Started, h.uncordonedAt),
		IsListed:   h.listedState != policy.Gone,
		IsDraining: h.listedState == policy.Draining,
	}
}

// ID derives a server's ID from its name alone, so that all sidecars order the servers alike, even after a restart: deterministic
// subsetting depends on that. If the name ends in a dash and eight hexadecimal digits, these are the ID; any other name is hashed.
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

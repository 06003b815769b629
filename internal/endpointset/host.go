package endpointset

import (
	"hash/fnv"
	"strconv"
	"strings"

	"hazelwheel/policy"
)

// Host is a server that is known. Its fields are read-only outside this package.
type Host struct {
	ID      uint32
	Name    string
	Address string
	State   policy.HostState // in effect: draining while it is cordoned or under maintenance, whatever is listed

	listing      policy.HostInfo  // the last list entry, without State
	entry        endpoint         // the last list entry as it was written
	listedState  policy.HostState // by the list
	goneAt       float64          // when it was listed as gone, or returned to use after that
	cordonedAt   float64          // start of the last time out of use, as long as uncordonedAt holds
	uncordonedAt float64          // end of the last time out of use: taken for its start time unless the list has a later one; 0: none
}

// Listing is what discovery lists of a server.
type Listing struct {
	Zone, Type           string
	Weight               float64
	StartedAt            float64 // the later of the listed start and of the end of its last time out of use
	IsListed, IsDraining bool
}

// Listing returns what the list says of the server, whether it is cordoned or not.
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

// ID derives a server's ID from its name alone, so that all sidecars, also after a restart, order the servers alike: deterministic
// subsetting depends on that. A name that ends in a dash and eight hexadecimal digits has these as its ID; any other is
// hashed.
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

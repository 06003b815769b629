package subsetsim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/decide/subset"
)

// sidecar is a client of the servers.
type sidecar struct {
	id      uint64
	number  int     // by the settings
	traffic float64 // requests per second
}

// fleet is the sidecars and servers as a sidecar knows them.
type fleet struct {
	sidecars    []sidecar // sorted by ID
	servers     []subset.Server
	order       []subset.Server // in the order of the ring
	byID        []subset.Server
	byHash      []subset.Server // sorted by the hash of the ID
	meanTraffic float64
	classes     []int8             // traffic classes of the sidecars
	weights     map[uint64]float64 // of servers, for weighted rendezvous hashing; nil: not computed
}

// update computes what follows from sidecars and servers.
func (f *fleet) update() {
	f.order, f.weights = subset.RingOrder(f.servers), nil
	f.byID = slices.SortedFunc(slices.Values(f.servers), func(a, b subset.Server) int { return cmp.Compare(a.ID, b.ID) })
	f.byHash = slices.SortedFunc(slices.Values(f.servers), func(a, b subset.Server) int { return cmp.Compare(mix(a.ID), mix(b.ID)) })
	slices.SortFunc(f.sidecars, func(a, b sidecar) int { return cmp.Compare(a.id, b.id) })
	f.classes, f.meanTraffic = f.classes[:0:0], 0
	for _, s := range f.sidecars {
		f.classes, f.meanTraffic = append(f.classes, subset.TrafficClass(s.traffic)), f.meanTraffic+s.traffic/float64(len(f.sidecars))
	}
}

// size returns how many servers a sidecar selects.
func (f *fleet) size(s sidecar) int {
	return subset.Size(len(f.servers), len(f.sidecars), len(f.sidecars), 4+2*s.traffic*latencyTargetSeconds)
}

// rank returns a sidecar's rank by ID.
func (f *fleet) rank(s sidecar) int {
	i, _ := slices.BinarySearchFunc(f.sidecars, s.id, func(o sidecar, id uint64) int { return cmp.Compare(o.id, id) })
	return i
}

// copy returns an independent copy.
func (f *fleet) copy() *fleet {
	c := &fleet{sidecars: slices.Clone(f.sidecars), servers: slices.Clone(f.servers)}
	c.update()
	return c
}

// smallZone is the number of the zone with few servers.
const smallZone = 2

// zoneOf puts one server in 25 into the small zone, and the others into two large ones.
func zoneOf(i int) int {
	if i%25 == 7 {
		return smallZone
	}
	return i % 2
}

// simulation is a fleet that changes.
type simulation struct {
	rng          *rand.Rand
	nextServerID int
	fleet
}

// newServer returns a server with a new ID.
func (s *simulation) newServer() subset.Server {
	s.nextServerID++
	return subset.Server{ID: uint64(s.nextServerID), Zone: zoneOf(s.nextServerID)}
}

// newSimulation draws a fleet. With unequal traffic some sidecars are heavy.
func newSimulation(sidecars, servers int, unequal bool, seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, uint64(sidecars*10007+servers)))}
	for range servers {
		s.servers = append(s.servers, s.newServer())
	}
	mean := requestRatePerServer * float64(servers) / float64(sidecars)
	for i := range sidecars {
		one := sidecar{id: s.rng.Uint64(), number: i, traffic: mean}
		if unequal {
			if one.traffic = mean * (1 - float64(heavyFactor)/heavyInterval) / (1 - 1.0/heavyInterval); i%heavyInterval == heavyInterval/2 || sidecars < heavyInterval && i == sidecars/2 {
				one.traffic = mean * heavyFactor
			}
		}
		s.sidecars = append(s.sidecars, one)
	}
	s.rng.Shuffle(sidecars, func(i, j int) {
		s.sidecars[i].traffic, s.sidecars[j].traffic = s.sidecars[j].traffic, s.sidecars[i].traffic
	})
	s.update()
	return s
}

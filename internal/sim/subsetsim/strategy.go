package subsetsim

import (
	"cmp"
	"math"
	"slices"

	"hazelwheel/internal/decide/subset"
	"hazelwheel/policy"
)

// Strategy is a rule by which a sidecar selects servers.
type Strategy struct {
	Name            string
	NeedsMembership bool // it needs the live sidecars, or more
	Slow            bool // its cost grows with sidecars times servers
	selectServers   func(f *fleet, s sidecar, held map[uint64]bool) []subset.Server
}

// IsFeasible reports whether measuring the strategy takes no more than some seconds.
func (w Strategy) IsFeasible(sidecars, servers int) bool {
	return !w.Slow || sidecars*servers <= 100_000
}

// Strategies returns the strategies that are compared, by the names that are printed.
func Strategies() []Strategy {
	arc := func(position func(*fleet, sidecar) subset.Position, sticky bool) func(*fleet, sidecar, map[uint64]bool) []subset.Server {
		return func(f *fleet, s sidecar, held map[uint64]bool) []subset.Server {
			if !sticky {
				return subset.Select(f.order, position(f, s), f.size(s))
			}
			return subset.Reselect(f.order, position(f, s), f.size(s), reselectSlack, held)
		}
	}
	byNumber := func(_ *fleet, s sidecar) subset.Position { return subset.PositionByNumber(s.number) }
	byRank := func(f *fleet, s sidecar) subset.Position { return subset.PositionByRank(f.rank(s), len(f.sidecars)) }
	byTraffic := func(f *fleet, s sidecar) subset.Position { return subset.PositionByTraffic(f.rank(s), f.classes) }
	return []Strategy{
		{Name: "today, by number", selectServers: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server { return f.subsetOfPolicy(s, s.number) }},
		{Name: "today, by rank", NeedsMembership: true, selectServers: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server { return f.subsetOfPolicy(s, f.rank(s)) }},
		{Name: "ring of draws", selectServers: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server {
			at, _ := slices.BinarySearchFunc(f.byHash, mix(s.id), func(b subset.Server, at uint64) int { return cmp.Compare(mix(b.ID), at) })
			return arcFrom(f.byHash, at, f.size(s))
		}},
		{Name: "rendezvous", selectServers: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server { return f.rendezvous(s) }, Slow: true},
		{Name: "rendezvous by weight", NeedsMembership: true, Slow: true, selectServers: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server {
			if f.weights == nil {
				f.correctWeights()
			}
			return f.rendezvous(s)
		}},
		{Name: "golden steps by number", selectServers: arc(byNumber, false)},
		{Name: "golden steps, held", selectServers: arc(byNumber, true)},
		{Name: "rotation by rank", NeedsMembership: true, selectServers: arc(byRank, false)},
		{Name: "rotation by rank, held", NeedsMembership: true, selectServers: arc(byRank, true)},
		{Name: "rotation by traffic", NeedsMembership: true, selectServers: arc(byTraffic, false)},
		{Name: "rotation by traffic, held", NeedsMembership: true, selectServers: arc(byTraffic, true)},
	}
}

// rendezvous selects the servers with the highest weighted scores for a sidecar.
func (f *fleet) rendezvous(s sidecar) []subset.Server {
	type candidate struct {
		server subset.Server
		score  float64
	}
	all := make([]candidate, len(f.servers))
	for i, b := range f.servers {
		u := (float64(mix(mix(s.id)^b.ID)>>11) + 0.5) / (1 << 53)
		w := 1.0
		if f.weights != nil {
			w = f.weights[b.ID]
		}
		all[i] = candidate{b, -w / math.Log(u)}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server.ID, b.server.ID))
	})
	selected := make([]subset.Server, f.size(s))
	for i := range selected {
		selected[i] = all[i].server
	}
	return selected
}

// correctWeights lowers the weights of servers with more load than the mean, as a sidecar could that knows the traffic of all.
func (f *fleet) correctWeights() {
	f.weights = map[uint64]float64{}
	for _, b := range f.servers {
		f.weights[b.ID] = 1
	}
	for range weightRounds {
		load := map[uint64]float64{}
		for _, s := range f.sidecars {
			selected := f.rendezvous(s)
			for _, b := range selected {
				load[b.ID] += s.traffic / float64(len(selected))
			}
		}
		mean := f.meanTraffic * float64(len(f.sidecars)) / float64(len(f.servers))
		for id := range f.weights {
			f.weights[id] *= min(max(mean/max(load[id], mean/4), 0.5), 2)
		}
	}
}

// arcFrom returns so many servers of a ring from an index on.
func arcFrom(ring []subset.Server, from, size int) []subset.Server {
	selected := make([]subset.Server, min(size, len(ring)))
	for i := range selected {
		selected[i] = ring[(from+i)%len(ring)]
	}
	return selected
}

// subsetOfPolicy selects an arc of the servers by ID, as policy.Subset does.
func (f *fleet) subsetOfPolicy(s sidecar, number int) []subset.Server {
	from, size := policy.Subset(len(f.byID), number, len(f.sidecars), 4+2*s.traffic*latencyTargetSeconds)
	return arcFrom(f.byID, from, size)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package subsetsim

import (
	"cmp"
	"math"
	"slices"

	"hazelwheel/internal/decide/subset"
	"hazelwheel/policy"
)

// Strategy is one way to choose.
type Strategy struct {
	Name            string
	NeedsMembership bool // needs to know who lives, or more
	Slow            bool // its cost grows with sidecars times boxes
	take            func(f *fleet, s sidecar, held map[uint64]bool) []subset.Server
}

// IsFeasible tells whether a way can be weighed for a size within some seconds: who corrects weights looks at each sidecar and box a dozen times.
func (w Strategy) IsFeasible(sidecars, boxes int) bool { return !w.Slow || sidecars*boxes <= 100_000 }

// Strategies returns the ways that are weighed.
func Strategies() []Strategy {
	arc := func(place func(*fleet, sidecar) subset.Position, keep bool) func(*fleet, sidecar, map[uint64]bool) []subset.Server {
		return func(f *fleet, s sidecar, held map[uint64]bool) []subset.Server {
			if !keep {
				return subset.Select(f.order, place(f, s), f.size(s))
			}
			return subset.Reselect(f.order, place(f, s), f.size(s), beside, held)
		}
	}
	spread := func(_ *fleet, s sidecar) subset.Position { return subset.PositionByNumber(s.number) }
	dense := func(f *fleet, s sidecar) subset.Position { return subset.PositionByRank(f.rank(s), len(f.sidecars)) }
	told := func(f *fleet, s sidecar) subset.Position { return subset.PositionByTraffic(f.rank(s), f.told) }
	return []Strategy{
		{Name: "today, by number", take: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server { return f.today(s, s.number) }},
		{Name: "today, by rank", NeedsMembership: true, take: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server { return f.today(s, f.rank(s)) }},
		{Name: "ring of draws", take: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server {
			at, _ := slices.BinarySearchFunc(f.hashed, mix(s.id), func(b subset.Server, at uint64) int { return cmp.Compare(mix(b.ID), at) })
			return run(f.hashed, at, f.size(s))
		}},
		{Name: "rendezvous", take: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server { return f.rendezvous(s) }, Slow: true},
		{Name: "rendezvous by weight", NeedsMembership: true, Slow: true, take: func(f *fleet, s sidecar, _ map[uint64]bool) []subset.Server {
			if f.weights == nil {
				f.correct()
			}
			return f.rendezvous(s)
		}},
		{Name: "golden steps by number", take: arc(spread, false)},
		{Name: "golden steps, held", take: arc(spread, true)},
		{Name: "rotation by rank", NeedsMembership: true, take: arc(dense, false)},
		{Name: "rotation by rank, held", NeedsMembership: true, take: arc(dense, true)},
		{Name: "rotation by traffic", NeedsMembership: true, take: arc(told, false)},
		{Name: "rotation by traffic, held", NeedsMembership: true, take: arc(told, true)},
	}
}

// rendezvous takes the boxes with the greatest weighted draws of a sidecar.
func (f *fleet) rendezvous(s sidecar) []subset.Server {
	type drawn struct {
		box   subset.Server
		score float64
	}
	all := make([]drawn, len(f.boxes))
	for i, b := range f.boxes {
		u := (float64(mix(mix(s.id)^b.ID)>>11) + 0.5) / (1 << 53)
		w := 1.0
		if f.weights != nil {
			w = f.weights[b.ID]
		}
		all[i] = drawn{b, -w / math.Log(u)}
	}
	slices.SortFunc(all, func(a, b drawn) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.box.ID, b.box.ID)) })
	taken := make([]subset.Server, f.size(s))
	for i := range taken {
		taken[i] = all[i].box
	}
	return taken
}

// correct gives boxes that get more than the mean less weight, as every sidecar would that knows all and their traffic.
func (f *fleet) correct() {
	f.weights = map[uint64]float64{}
	for _, b := range f.boxes {
		f.weights[b.ID] = 1
	}
	for range rounds {
		got := map[uint64]float64{}
		for _, s := range f.sidecars {
			taken := f.rendezvous(s)
			for _, b := range taken {
				got[b.ID] += s.traffic / float64(len(taken))
			}
		}
		mean := f.mean * float64(len(f.sidecars)) / float64(len(f.boxes))
		for id := range f.weights {
			f.weights[id] *= min(max(mean/max(got[id], mean/4), 0.5), 2)
		}
	}
}

func run(ring []subset.Server, from, size int) []subset.Server {
	taken := make([]subset.Server, min(size, len(ring)))
	for i := range taken {
		taken[i] = ring[(from+i)%len(ring)]
	}
	return taken
}

// today is a run of the ring by identity, as the module takes it.
func (f *fleet) today(s sidecar, number int) []subset.Server {
	from, size := policy.Subset(len(f.ring), number, len(f.sidecars), 4+2*s.traffic*aimS)
	return run(f.ring, from, size)
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

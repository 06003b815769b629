package subsetsim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/decide/subset"
)

type sidecar struct {
	id      uint64
	number  int // by the settings
	traffic float64
}

// fleet is one view: who there is, and which boxes.
type fleet struct {
	sidecars []sidecar // by identity
	boxes    []subset.Server
	order    []subset.Server // on the circle
	ring     []subset.Server // by identity
	hashed   []subset.Server // by a hash of it
	mean     float64         // traffic
	told     []int8
	weights  map[uint64]float64 // of boxes, where rendezvous is by weight
}

func (f *fleet) settle() {
	f.order, f.weights = subset.RingOrder(f.boxes), nil
	f.ring = slices.SortedFunc(slices.Values(f.boxes), func(a, b subset.Server) int { return cmp.Compare(a.ID, b.ID) })
	f.hashed = slices.SortedFunc(slices.Values(f.boxes), func(a, b subset.Server) int { return cmp.Compare(mix(a.ID), mix(b.ID)) })
	slices.SortFunc(f.sidecars, func(a, b sidecar) int { return cmp.Compare(a.id, b.id) })
	f.told, f.mean = f.told[:0:0], 0
	for _, s := range f.sidecars {
		f.told, f.mean = append(f.told, subset.TrafficClass(s.traffic)), f.mean+s.traffic/float64(len(f.sidecars))
	}
}

func (f *fleet) size(s sidecar) int {
	return subset.Size(len(f.boxes), len(f.sidecars), len(f.sidecars), 4+2*s.traffic*aimS)
}

func (f *fleet) rank(s sidecar) int {
	i, _ := slices.BinarySearchFunc(f.sidecars, s.id, func(o sidecar, id uint64) int { return cmp.Compare(o.id, id) })
	return i
}

// copy returns the view as it is now.
func (f *fleet) copy() *fleet {
	c := &fleet{sidecars: slices.Clone(f.sidecars), boxes: slices.Clone(f.boxes)}
	c.settle()
	return c
}

// zone gives one box in 25 to a small zone, and the rest to two large ones.
func zone(i int) int {
	if i%25 == 7 {
		return 2
	}
	return i % 2
}

type world struct {
	rng  *rand.Rand
	next int // box
	fleet
}

func (w *world) box() subset.Server {
	w.next++
	return subset.Server{ID: uint64(w.next), Zone: zone(w.next)}
}

func draw(sidecars, boxes int, unequal bool, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(sidecars*10007+boxes)))}
	for range boxes {
		w.boxes = append(w.boxes, w.box())
	}
	mean := boxRate * float64(boxes) / float64(sidecars)
	for i := range sidecars {
		s := sidecar{id: w.rng.Uint64(), number: i, traffic: mean}
		if unequal {
			if s.traffic = mean * (1 - float64(times)/heavy) / (1 - 1.0/heavy); i%heavy == heavy/2 || sidecars < heavy && i == sidecars/2 {
				s.traffic = mean * times
			}
		}
		w.sidecars = append(w.sidecars, s)
	}
	w.rng.Shuffle(sidecars, func(i, j int) {
		w.sidecars[i].traffic, w.sidecars[j].traffic = w.sidecars[j].traffic, w.sidecars[i].traffic
	})
	w.settle()
	return w
}

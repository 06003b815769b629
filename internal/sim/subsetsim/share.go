// Package subsetsim weighs the ways in which sidecars choose the boxes that they hold, by the choices alone: no requests, no clock. Each
// sidecar spreads its traffic evenly over what it holds; judged is what that adds up to at each box.
package subsetsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/decide/subset"
	"hazelwheel/policy"
)

const (
	boxRate = 20.0 // requests a second at a box, of all sidecars together
	aimS    = 0.3
	heavy   = 20  // one sidecar in so many has
	times   = 10  // as much traffic as the mean
	lagging = 2   // one sidecar in so many still goes by the view of a second ago
	beside  = 1   // places that what is held may lie beside the arc
	rounds  = 12  // of correction, where rendezvous is by weight
	seconds = 10  // of change
	part    = 100 // one in so many comes and goes each second
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

// Strategy is one way to choose.
type Strategy struct {
	Name            string
	NeedsMembership bool // needs to know who lives, or more
	Slow            bool // its cost grows with sidecars times boxes
	take            func(f *fleet, s sidecar, held map[uint64]bool) []subset.Server
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
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

// Result are what a way comes to for one size.
type Result struct {
	Strategy             string  `json:"way"`
	Sidecars             int     `json:"sidecars"`
	Servers              int     `json:"boxes"`
	Unequal              bool    `json:"unequal"`
	PeakLoad             float64 `json:"busiest_over_mean"`
	PeakLoadInChurn      float64 `json:"busiest_over_mean_in_change"` // the mean of the seconds
	WorstSecond          float64 `json:"worst_second"`
	MinSidecarsPerServer int     `json:"least_sidecars_at_a_box"`
	MovesPerServer       float64 `json:"moves_by_a_box"`     // that comes, over the least possible
	MovesPerSidecar      float64 `json:"moves_by_a_sidecar"` // likewise
	MovesInChurn         float64 `json:"moves_in_change"`    // links that begin in a second, over the least possible
	LinksPerSidecar      float64 `json:"links_of_a_sidecar"`
	MaxZoneLoad          float64 `json:"busiest_zone_over_mean"`
	SmallestZoneLoad     float64 `json:"smallest_zone_over_mean"`
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

// copy returns the view as it is now.
func (f *fleet) copy() *fleet {
	c := &fleet{sidecars: slices.Clone(f.sidecars), boxes: slices.Clone(f.boxes)}
	c.settle()
	return c
}

// load returns what each box of a list gets, and how many sidecars hold it; what is held of boxes that are gone goes to the rest.
func load(f *fleet, held map[uint64]map[uint64]bool) (busiest float64, least int, zones map[int]float64) {
	got, holders, total := map[uint64]float64{}, map[uint64]int{}, 0.0
	live := map[uint64]bool{}
	for _, b := range f.boxes {
		live[b.ID] = true
	}
	for _, s := range f.sidecars {
		n := 0
		for id := range held[s.id] {
			if live[id] {
				n++
			}
		}
		for id := range held[s.id] {
			if live[id] {
				got[id] += s.traffic / float64(n)
				holders[id]++
			}
		}
		total += s.traffic
	}
	least = math.MaxInt
	of, in := map[int]float64{}, map[int]int{}
	mean := total / float64(len(f.boxes))
	for _, b := range f.boxes {
		busiest, least = max(busiest, got[b.ID]/mean), min(least, holders[b.ID])
		of[b.Zone] += got[b.ID] / mean
		in[b.Zone]++
	}
	for z := range of {
		of[z] /= float64(in[z])
	}
	return busiest, least, of
}

func set(boxes []subset.Server) map[uint64]bool {
	s := make(map[uint64]bool, len(boxes))
	for _, b := range boxes {
		s[b.ID] = true
	}
	return s
}

// choose has sidecars choose by a view, and counts links that begin; those that are new choose, too, but count for nothing.
func (w Strategy) choose(f *fleet, held map[uint64]map[uint64]bool, who func(id uint64) bool) (moves int) {
	for _, s := range f.sidecars {
		if held[s.id] != nil && !who(s.id) {
			continue
		}
		now := set(w.take(f, s, held[s.id]))
		if held[s.id] != nil {
			for id := range now {
				if !held[s.id][id] {
					moves++
				}
			}
		}
		held[s.id] = now
	}
	return moves
}

func all(uint64) bool { return true }

// links is how many links to boxes there are.
func links(held map[uint64]map[uint64]bool) (n int) {
	for _, h := range held {
		n += len(h)
	}
	return n
}

// Measure weighs one way for one size. Moves are those of sidecars that stay; the least possible for a box that comes is the mean
// of a box's sidecars, and for a sidecar that comes as many as move to keep each box's number: none where boxes may have one more, so
// it is told in parts of what the newcomer itself holds.
func Measure(w Strategy, sidecars, boxes int, unequal bool, seed uint64) Result {
	f := Result{Strategy: w.Name, Sidecars: sidecars, Servers: boxes, Unequal: unequal}
	d := draw(sidecars, boxes, unequal, seed)
	held := map[uint64]map[uint64]bool{}
	w.choose(&d.fleet, held, all)
	var zones map[int]float64
	f.PeakLoad, f.MinSidecarsPerServer, zones = load(&d.fleet, held)
	f.LinksPerSidecar = float64(links(held)) / float64(sidecars)
	for _, z := range zones {
		f.MaxZoneLoad = max(f.MaxZoneLoad, z)
	}
	f.SmallestZoneLoad = zones[2]

	const trials = 4
	for range trials {
		d.boxes = append(d.boxes, d.box())
		d.settle()
		f.MovesPerServer += float64(w.choose(&d.fleet, held, all)) / (float64(links(held)) / float64(len(d.boxes))) / trials
	}
	for range trials {
		one := sidecar{id: d.rng.Uint64(), number: len(d.sidecars), traffic: d.mean}
		d.sidecars = append(d.sidecars, one)
		d.settle()
		f.MovesPerSidecar += float64(w.choose(&d.fleet, held, all)) / float64(len(held[one.id])) / trials
	}

	// One in a hundred of both is replaced each second. Half of the sidecars go by what was a second ago.
	boxesOut, sidecarsOut := max((boxes+part/2)/part, 1), (sidecars+part/2)/part
	before := d.copy()
	played, ideal, begun := 0, 0.0, 0
	for range seconds {
		for range boxesOut {
			d.boxes[d.rng.IntN(len(d.boxes))] = d.box()
		}
		for range sidecarsOut {
			i := d.rng.IntN(len(d.sidecars))
			delete(held, d.sidecars[i].id)
			d.sidecars[i].id = d.rng.Uint64()
		}
		d.settle()
		ideal += float64(boxesOut) * float64(links(held)) / float64(len(d.boxes))
		late := func(id uint64) bool { return (mix(id)+uint64(played))%lagging == 0 }
		here := map[uint64]bool{}
		for _, s := range d.sidecars {
			here[s.id] = true
		}
		begun += w.choose(before, held, func(id uint64) bool { return here[id] && late(id) })
		for id := range held { // those who are gone hold nothing
			if !here[id] {
				delete(held, id)
			}
		}
		begun += w.choose(&d.fleet, held, func(id uint64) bool { return !late(id) })
		busiest, least, _ := load(&d.fleet, held)
		f.PeakLoadInChurn += busiest / seconds
		f.WorstSecond, f.MinSidecarsPerServer = max(f.WorstSecond, busiest), min(f.MinSidecarsPerServer, least)
		before = d.copy()
		played++
	}
	f.MovesInChurn = float64(begun) / ideal
	return f
}

func (f Result) String() string {
	traffic := "equal"
	if f.Unequal {
		traffic = "unequal"
	}
	return fmt.Sprintf("%5d %5d  %-7s  %-26s  %5.2f  %5.2f  %5.2f  %4d  %6.1f  %6.2f  %6.1f  %6.1f  %5.2f %5.2f", f.Sidecars, f.Servers, traffic, f.Strategy, f.PeakLoad, f.PeakLoadInChurn,
		f.WorstSecond, f.MinSidecarsPerServer, f.MovesPerServer, f.MovesPerSidecar, f.MovesInChurn, f.LinksPerSidecar, f.MaxZoneLoad, f.SmallestZoneLoad)
}

func (f Result) size() string { return fmt.Sprintf("%d, %d", f.Sidecars, f.Servers) }

// TableHeader is the line above a table of Figures.
const TableHeader = "sidecars boxes        way                    steady change  worst least  box x  sidecar  change x  links  zones: most, small"

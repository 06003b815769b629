package subsetsim

import (
	"math"

	"hazelwheel/internal/decide/subset"
)

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

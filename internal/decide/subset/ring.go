package subset

import (
	"cmp"
	"slices"
)

// RingOrder returns the boxes in their order on the circle; the list is left as it is. Each zone's boxes are spread evenly over all of
// the circle, so any arc holds of each zone its part, to within a box, and a small zone is as busy as a large one.
func RingOrder(list []Server) []Server {
	type spot struct {
		box  Server
		hash uint64
		at   float64
	}
	spots := make([]spot, len(list))
	for i, b := range list {
		spots[i] = spot{box: b, hash: mix(b.ID + golden)}
	}
	slices.SortFunc(spots, func(a, b spot) int {
		return cmp.Or(cmp.Compare(a.box.Zone, b.box.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.box.ID, b.box.ID))
	})
	for from := 0; from < len(spots); {
		to := from
		for to < len(spots) && spots[to].box.Zone == spots[from].box.Zone {
			to++
		}
		for i := from; i < to; i++ {
			spots[i].at = (float64(i-from) + 0.5) / float64(to-from)
		}
		from = to
	}
	slices.SortStableFunc(spots, func(a, b spot) int { return cmp.Compare(a.at, b.at) })
	order := make([]Server, len(spots))
	for i, s := range spots {
		order[i] = s.box
	}
	return order
}

// Select returns the boxes of the arc that begins at a place, of an Order, the first ones first.
func Select(order []Server, at Position, size int) []Server {
	size = min(max(size, 0), len(order))
	taken := make([]Server, size)
	for i, from := 0, at.from(max(len(order), 1)); i < size; i++ {
		taken[i] = order[(from+i)%len(order)]
	}
	return taken
}

// Reselect returns what one holds that has held some boxes (by ID) and whose arc is now another: all boxes of the arc, of those held
// before what lies at most slack places beside it, and as many more, the nearest first, as make half of what was held and is
// still listed. So a list that trembles moves nothing twice; and peers' word, which moves the place, never takes more than half
// at once: what is left over goes at a later call, when the new ones have been held for a while.
func Reselect(order []Server, at Position, size, slack int, held map[uint64]bool) []Server {
	taken := Select(order, at, size)
	if len(held) == 0 || len(taken) == len(order) {
		return taken
	}
	kept, listed := 0, 0
	for _, b := range order {
		if held[b.ID] {
			listed++
		}
	}
	for _, b := range taken {
		if held[b.ID] {
			kept++
		}
	}
	n, from := len(order), at.from(len(order))
	rest := n - len(taken)
	for i := range rest { // outwards, behind the arc and before it in turns
		steps := i/2 + 1
		b := order[(from+len(taken)+i/2)%n]
		if i%2 == 1 {
			b = order[(from-steps+n)%n]
		}
		if held[b.ID] && (steps <= slack || 2*kept < listed) {
			taken, kept = append(taken, b), kept+1
		}
	}
	return taken
}

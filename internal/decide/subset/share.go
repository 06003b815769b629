// Package subset decides which boxes a sidecar holds, so that the choices of many add up: every box is held by about as many, by
// two at least, and few are moved when a sidecar or a box comes or goes. It is pure: no clock, no state, no I/O; the same
// arguments give the same answer, in whatever order the list of boxes comes.
//
// The boxes lie on a circle, in an order that all sidecars compute alike. Each sidecar holds an arc of it, which begins at its
// place. Three ways give a place: Spread by number alone, Dense by rank among those that are known to live, ByTraffic by
// rank among those with as much traffic as one's own. docs/design/share.md weighs them.
package subset

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Server is a box as the list tells it.
type Server struct {
	ID   uint64 // the same at all sidecars
	Zone int    // any number; the same for all boxes where no zones are told
}

// Position is where an arc begins, in parts of the circle of 2^-64.
type Position uint64

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

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

// Size is how many of so many boxes a sidecar holds that wants need of them for its own traffic, by the formula that policy.Subset has:
// more where there are more boxes for each sidecar, and as many as give every box two sidecars. Count is how many sidecars there are by what
// peers tell, told by the settings. Danger: a count that is wrong or a lie must not leave too few, so peers' word takes no more
// than half of what the settings give.
func Size(boxes, count, told int, need float64) int {
	by := func(count int) int {
		count = max(count, 1)
		return min(boxes, max(int(min(max(need, 0), 1e6)+6*float64(boxes)/float64(count)), 2*((boxes+count-1)/count)))
	}
	return max(by(count), (by(told)+1)/2)
}

// PositionByNumber is the place of one who knows its number alone: steps of the golden section. The count does not come into it, so one more
// or one fewer at the end moves nobody, and any run of numbers is spread evenly, also where far fewer live than was told. Danger: where
// ranks close up behind one that has gone, all behind it would jump; Dense is for ranks.
func PositionByNumber(number int) Position { return Position(uint64(max(number, 0)) * golden) }

// golden is the golden section of 2^64.
const golden = 0x9e3779b97f4a7c15

// PositionByRank is the place of a rank among those that live: all are equally far apart, and one that comes or goes moves the others by
// less than that. Danger: where ranks are not dense (of 100 that were told 10 live) nine in ten boxes are held by nobody; Spread is for
// numbers that may have gaps.
func PositionByRank(rank, count int) Position {
	if count <= 1 {
		return 0
	}
	at, _ := bits.Div64(uint64(min(max(rank, 0), count-1)), 0, uint64(count))
	return Position(at)
}

// TrafficClass is the class of a traffic (in any unit, the same for all): its power of two. What is no traffic is in the lowest class. Who tells
// its class should change it late, or a traffic at the edge of two classes moves its sidecar to and fro.
func TrafficClass(traffic float64) int8 {
	if !(traffic > 0) { // NaN, too
		return math.MinInt8
	}
	return int8(min(max(math.Round(math.Log2(traffic)), math.MinInt8+1), math.MaxInt8))
}

// PositionByTraffic is the place of a rank among those that live, of whom each tells the Class of its traffic: Dense among those of its class. Sidecars of a
// class hold about as many boxes and bring about as much to each, so each class by itself loads the boxes evenly, however rare the heavy
// ones are. A liar moves the others of two classes by less than they are apart. Danger: without classes the heavy ones stand where
// ranks chance to be, and where two of them overlap boxes get twice as much.
func PositionByTraffic(rank int, classes []int8) Position {
	if rank < 0 || rank >= len(classes) {
		return 0
	}
	own, before, count := classes[rank], 0, 0
	for i, c := range classes {
		if c == own {
			if count++; i < rank {
				before++
			}
		}
	}
	return PositionByRank(before, count) + Position(uint64(own)*golden) // classes begin at different boxes
}

// from is the first box of the arc that begins at a place, of so many.
func (p Position) from(boxes int) int {
	hi, _ := bits.Mul64(uint64(p), uint64(boxes))
	return int(hi)
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

// NumberAt is the number, of so many, that a module is to be told which steps through the circle by it (policy.Subset), so that its run
// begins at a place, to within half a part in count of the circle. Step is where the module's number 1 begins, of so many boxes. Places that are
// a part in count apart, as those of Dense, have numbers of their own. Danger: rounded down, rank 1 of 3 would begin where rank 0 does.
func NumberAt(at Position, count, step int) int {
	if count <= 1 {
		return 0
	}
	slot := (at + Position(math.MaxUint64/uint64(2*count))).from(count)
	inverse, next, r, rest := 0, 1, count, step // Euclid's: step times inverse is 1, in the round of count
	for rest != 0 {
		q := r / rest
		inverse, next, r, rest = next, inverse-q*next, rest, r-q*rest
	}
	if r != 1 { // a step that does not reach all
		return slot
	}
	hi, lo := bits.Mul64(uint64((inverse%count+count)%count), uint64(slot))
	return int(bits.Rem64(hi, lo, uint64(count)))
}

package subset

import (
	"math"
	"math/bits"
)

// Position is where an arc begins, in parts of the circle of 2^-64.
type Position uint64

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// golden is the golden section of 2^64.
const golden = 0x9e3779b97f4a7c15

// PositionByNumber is the place of one who knows its number alone: steps of the golden section. The count does not come into it, so one more
// or one fewer at the end moves nobody, and any run of numbers is spread evenly, also where far fewer live than was told. Danger: where
// ranks close up behind one that has gone, all behind it would jump; Dense is for ranks.
func PositionByNumber(number int) Position { return Position(uint64(max(number, 0)) * golden) }

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

package subset

import (
	"math"
	"math/bits"
)

// Position is where an arc begins on the ring, in units of 2^-64 of its length.
type Position uint64

// mixBits is the finalizer of splitmix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// goldenRatio is 2^64 divided by the golden ratio.
const goldenRatio = 0x9e3779b97f4a7c15

// PositionByNumber returns the position of a sidecar that knows only its configured number. Successive numbers are a golden ratio
// step apart. The position does not depend on the number of sidecars, so a sidecar that is added or removed moves no other one,
// and any range of numbers is spread evenly, even if far fewer sidecars are live than configured. It is not suited for ranks:
// when a sidecar ends, all sidecars of higher rank would jump by a large step. Use PositionByRank for ranks.
func PositionByNumber(number int) Position { return Position(uint64(max(number, 0)) * goldenRatio) }

// PositionByRank returns the position of a rank among live sidecars. All positions are equally far apart, and a sidecar that is
// added or removed moves the others by less than that distance. It is not suited for numbers with gaps: with 10 live of 100
// configured sidecars, nine in ten servers would get no sidecar. Use PositionByNumber for such numbers.
func PositionByRank(rank, count int) Position {
	if count <= 1 {
		return 0
	}
	position, _ := bits.Div64(uint64(min(max(rank, 0), count-1)), 0, uint64(count))
	return Position(position)
}

// TrafficClass returns the class of an amount of traffic, in any unit that all sidecars share: the exponent of the nearest power
// of two. No traffic, a negative amount and NaN have the lowest class. A caller that reports its class should change it with
// hysteresis; otherwise traffic between two classes moves its sidecar back and forth.
func TrafficClass(traffic float64) int8 {
	if !(traffic > 0) { // true for NaN
		return math.MinInt8
	}
	return int8(min(max(math.Round(math.Log2(traffic)), math.MinInt8+1), math.MaxInt8))
}

// PositionByTraffic returns the position of a rank among live sidecars that each report the TrafficClass of their traffic. It is
// PositionByRank among the sidecars of the same class. Sidecars of a class select about the same number of servers and send each
// about the same load, so each class by itself loads the servers evenly, however rare sidecars with much traffic are. A false
// report moves the sidecars of two classes by less than the distance between them. Without classes, the positions of sidecars
// with much traffic would depend on their ranks by chance, and servers where two of them overlap would get twice the load.
func PositionByTraffic(rank int, classes []int8) Position {
	if rank < 0 || rank >= len(classes) {
		return 0
	}
	class, before, count := classes[rank], 0, 0
	for i, c := range classes {
		if c == class {
			if count++; i < rank {
				before++
			}
		}
	}
	return PositionByRank(before, count) + Position(uint64(class)*goldenRatio) // classes begin at different servers
}

// firstServer returns the index of the first server of the arc on a ring of the given number of servers.
func (p Position) firstServer(servers int) int {
	hi, _ := bits.Mul64(uint64(p), uint64(servers))
	return int(hi)
}

// NumberAt returns the replica number for which policy.Subset begins at a position, to within half a step. policy.Subset steps
// through the ring by numbers: count is the number of sidecars, and step is where it begins for number 1 of them. Positions that
// are 1/count apart, such as those of PositionByRank, get different numbers. The position is rounded to the nearest step; rounded
// down, rank 1 of 3 would begin where rank 0 does.
func NumberAt(position Position, count, step int) int {
	if count <= 1 {
		return 0
	}
	slot := (position + Position(math.MaxUint64/uint64(2*count))).firstServer(count)
	inverse, next, remainder, nextRemainder := 0, 1, count, step // the extended Euclidean algorithm: inverse*step = 1 modulo count
	for nextRemainder != 0 {
		quotient := remainder / nextRemainder
		inverse, next, remainder, nextRemainder = next, inverse-quotient*next, nextRemainder, remainder-quotient*nextRemainder
	}
	if remainder != 1 { // step and count have a common divisor, so not all positions are reached
		return slot
	}
	hi, lo := bits.Mul64(uint64((inverse%count+count)%count), uint64(slot))
	return int(bits.Rem64(hi, lo, uint64(count)))
}

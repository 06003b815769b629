package subset

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/policy"
)

func drawServers(t *rapid.T, least, most int) (list []Server) {
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "servers' seed"), 1))
	for i := range rapid.IntRange(least, most).Draw(t, "servers") {
		zone := rng.IntN(zones)
		if rng.IntN(20) > 0 {
			zone = min(zone, 1)
		}
		list = append(list, Server{ID: rng.Uint64()<<10 | uint64(i), Zone: zone})
	}
	return list
}

// sidecarsPerServer returns how many sidecars select each server.
func sidecarsPerServer(order []Server, count int, position func(rank int) Position, size int) map[uint64]int {
	held := map[uint64]int{}
	for rank := range count {
		for _, b := range Select(order, position(rank), size) {
			held[b.ID]++
		}
	}
	return held
}

// Each server gets at least two sidecars. With positions by rank, the numbers of sidecars of two servers differ by at most two.
func TestEachServerHasTwoSidecarsAndLoadIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order, count := RingOrder(drawServers(t, 2, 120)), rapid.IntRange(2, 200).Draw(t, "sidecars")
		size := Size(len(order), count, count, rapid.Float64Range(0, 30).Draw(t, "need"))
		classes := make([]int8, count)
		for i := range classes {
			classes[i] = int8(rapid.IntRange(0, 2).Draw(t, "class"))
		}
		for name, position := range map[string]func(int) Position{"by rank": func(r int) Position { return PositionByRank(r, count) }, "by number": PositionByNumber,
			"by traffic": func(r int) Position { return PositionByTraffic(r, classes) }} {
			held := sidecarsPerServer(order, count, position, size)
			least, most := math.MaxInt, 0
			for _, b := range order {
				least, most = min(least, held[b.ID]), max(most, held[b.ID])
			}
			if name != "by traffic" || count >= 6 {
				require.GreaterOrEqual(t, least, 2, name)
			}
			slack := map[string]int{"by rank": 2, "by number": 8, "by traffic": 6}[name] // two for each class
			require.LessOrEqual(t, most-least, slack, name)
		}
	})
}

// If one server or sidecar is added, each arc moves by at most one step, so few servers are replaced. There is a single zone,
// since with several zones a few more are replaced.
func TestNewServerOrSidecarMovesFewConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, count := drawServers(t, 3, 150), rapid.IntRange(2, 100).Draw(t, "sidecars")
		for i := range list {
			list[i].Zone = 0
		}
		order := RingOrder(list)
		size := Size(len(order), count, count, rapid.Float64Range(0, 20).Draw(t, "need"))
		more := RingOrder(append(slices.Clone(list), Server{ID: 5}))
		for rank := range count {
			before := Select(order, PositionByRank(rank, count), size)
			moved := func(after []Server) (n int) {
				for _, b := range after {
					if !slices.Contains(before, b) {
						n++
					}
				}
				return n
			}
			require.LessOrEqual(t, moved(Select(more, PositionByRank(rank, count), size)), 3, "a server is added")
			step := len(order)/count + 2
			require.LessOrEqual(t, moved(Select(order, PositionByRank(rank, count+1), size)), step, "a sidecar with a higher rank is added")
			require.LessOrEqual(t, moved(Select(order, PositionByRank(rank+1, count+1), size)), step, "a sidecar with a lower rank is added")
			require.Zero(t, moved(Select(order, PositionByRank(rank, count), size)))
		}
	})
}

// The order of the list makes no difference, and any arc has a fair share of the servers of each zone, to within a few servers.
func TestRingOrderIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawServers(t, 1, 150)
		order := RingOrder(list)
		require.Equal(t, order, RingOrder(rapid.Permutation(list).Draw(t, "order")))
		require.ElementsMatch(t, list, order)
		size := rapid.IntRange(1, len(order)).Draw(t, "size")
		arc := Select(order, Position(rapid.Uint64().Draw(t, "position")), size)
		zones, all := map[int]int{}, map[int]int{}
		for _, b := range arc {
			zones[b.Zone]++
		}
		for _, b := range order {
			all[b.Zone]++
		}
		for z, n := range all {
			part := float64(n) * float64(size) / float64(len(order))
			require.InDelta(t, part, zones[z], 2.5+float64(len(all))*float64(n)/float64(len(order)), "zone %d", z)
		}
	})
}

// A count that peers report shrinks the subset to no less than half of the size that the settings give, and replaces no more than
// half of the connections at once.
func TestReportedCountShrinksSubsetByHalfAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawServers(t, 1, 100)
		order := RingOrder(list)
		count, configured := rapid.IntRange(-1, 1<<40).Draw(t, "count"), rapid.IntRange(1, 300).Draw(t, "configured")
		need := rapid.Float64Range(0, 40).Draw(t, "need")
		size, own := Size(len(list), count, configured, need), Size(len(list), configured, configured, need)
		require.GreaterOrEqual(t, 2*size, own)
		held := map[uint64]bool{}
		for _, b := range Select(order, PositionByNumber(rapid.IntRange(0, 300).Draw(t, "number")), own) {
			held[b.ID] = true
		}
		at := Position(rapid.Uint64().Draw(t, "any position"))
		next := Reselect(order, at, size, 1, held)
		kept, ids := 0, map[uint64]bool{}
		for _, b := range next {
			if held[b.ID] {
				kept++
			}
			require.False(t, ids[b.ID], "a server is selected twice")
			ids[b.ID] = true
		}
		require.GreaterOrEqual(t, 2*kept, len(held))
		for _, b := range Select(order, at, size) {
			require.True(t, ids[b.ID], "a server of the arc is not selected")
		}
	})
}

// Whatever class a sidecar reports, the others move by no more than the distance between the sidecars of their class.
func TestFalseTrafficClassMovesOthersByOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, 2), func(c int) int8 { return int8(c) }), 2, 100).Draw(t, "classes")
		falseReporter := rapid.IntRange(0, len(classes)-1).Draw(t, "falseReporter")
		reported := slices.Clone(classes)
		reported[falseReporter] = TrafficClass(rapid.Float64().Draw(t, "reported"))
		for rank, own := range classes {
			if rank == falseReporter {
				continue
			}
			alike := 0
			for _, c := range reported {
				if c == own {
					alike++
				}
			}
			moved := int64(PositionByTraffic(rank, classes) - PositionByTraffic(rank, reported)) // signed, so the shorter way round the ring
			require.LessOrEqual(t, math.Abs(float64(moved)), math.Exp2(64)/float64(alike)*1.001)
		}
	})
}

// policy.Subset begins at the position, to within half a step, for the number that NumberAt returns, and positions of different
// ranks lead to different beginnings.
func TestNumberAtLeadsToPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, at := rapid.IntRange(1, 6000).Draw(t, "count"), Position(rapid.Uint64().Draw(t, "position"))
		step, _ := policy.Subset(count, 1, count, 0)
		begins := func(at Position) int {
			number := NumberAt(at, count, step)
			require.True(t, number >= 0 && number < count)
			from, _ := policy.Subset(count, number, count, 0)
			return from
		}
		off := int64(at - PositionByRank(begins(at), count)) // signed, so the shorter way round the ring
		require.LessOrEqual(t, math.Abs(float64(off)), math.Exp2(63)/float64(count)*1.001)
		rank := rapid.IntRange(0, count-1).Draw(t, "rank")
		require.Equal(t, rank, begins(PositionByRank(rank, count)))
	})
}

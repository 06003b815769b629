package coordination

import (
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// However answers are summed on their way, the owner has the counts, the times and the members of all, once each.
func TestAnswersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		want := sidecar.NewTimes()
		served := uint64(0)
		pending := make([]*reportResponse, n)
		for i := range n {
			h := sidecar.NewTimes()
			for range rapid.IntRange(0, 50).Draw(t, "requests") {
				us := rapid.Int64Range(0, 60_000_000).Draw(t, "us")
				require.NoError(t, h.RecordValue(us))
				require.NoError(t, want.RecordValue(us))
				served++
			}
			pending[i] = &reportResponse{}
			require.NoError(t, pending[i].merge(&reportResponse{Members: []swim.ID{swim.ID(i + 1)}, Classes: []classCounts{{Class: "read", Served: uint64(h.TotalCount()), RatePerSecond: 1,
				Latencies: encodeCounts(h.Export().Counts)}}}))
		}
		for len(pending) > 1 { // one answers to another, over the wire
			from := rapid.IntRange(1, len(pending)-1).Draw(t, "from")
			a := pending[from]
			for i := range a.Classes {
				a.Classes[i].Latencies = encodeCounts(a.Classes[i].latencyCounts)
			}
			var got reportResponse
			require.NoError(t, frames.Unmarshal(mustMarshal(a), &got))
			require.NoError(t, pending[rapid.IntRange(0, from-1).Draw(t, "to")].merge(&got))
			pending = append(pending[:from], pending[from+1:]...)
		}
		sum := pending[0]
		require.Len(t, sum.Members, n)
		require.Equal(t, served, sum.Classes[0].Served)
		require.InDelta(t, float64(n), sum.Classes[0].RatePerSecond, 1e-9)
		snapshot := *emptyHistogram()
		snapshot.Counts = sum.Classes[0].latencyCounts
		h := hdrhistogram.Import(&snapshot)
		for _, p := range []float64{50, 90, 99, 99.9, 100} {
			require.Equal(t, want.ValueAtPercentile(p), h.ValueAtPercentile(p))
		}
	})
}

// Whatever comes in place of an answer's counts, it is taken or turned away, and nothing fails.
func TestAnswersBearAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &reportResponse{}
		_ = a.merge(&reportResponse{Classes: []classCounts{{Class: "read", Latencies: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")}}})
		for _, c := range a.Classes {
			for _, n := range c.latencyCounts {
				require.GreaterOrEqual(t, n, int64(0))
			}
		}
	})
}

// In whatever order effects come and however often, each counts once, and no old one passes for new.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w replayWindow
		heard, last := map[uint64]bool{}, uint64(0)
		for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 200)).Draw(t, "numbers") {
			first := w.accept(1, n)
			switch {
			case heard[n]:
				require.False(t, first, "%d", n)
			case n+64 > last:
				require.True(t, first, "%d", n)
			}
			heard[n], last = true, max(last, n)
		}
	})
	var w replayWindow
	assert.True(t, w.accept(1, 5) && w.accept(2, 5) && !w.accept(2, 5))
}

package coordination

import (
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// In whatever order responses are merged on the way, the holder gets the counts, latencies and members of all, each once.
func TestResponsesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		want := sidecar.NewLatencyHistogram()
		served := uint64(0)
		pending := make([]*reportResponse, n)
		for i := range n {
			h := sidecar.NewLatencyHistogram()
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
		for len(pending) > 1 { // one responds to another, over the wire
			from := rapid.IntRange(1, len(pending)-1).Draw(t, "from")
			response := pending[from]
			for i := range response.Classes {
				response.Classes[i].Latencies = encodeCounts(response.Classes[i].latencyCounts)
			}
			var received reportResponse
			require.NoError(t, frames.Unmarshal(mustMarshal(response), &received))
			require.NoError(t, pending[rapid.IntRange(0, from-1).Draw(t, "to")].merge(&received))
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

// Arbitrary bytes in place of encoded counts are merged or rejected without a panic.
func TestMergeSurvivesAnyCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := &reportResponse{}
		_ = sum.merge(&reportResponse{Classes: []classCounts{{Class: "read", Latencies: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")}}})
		for _, c := range sum.Classes {
			for _, n := range c.latencyCounts {
				require.GreaterOrEqual(t, n, int64(0))
			}
		}
	})
}

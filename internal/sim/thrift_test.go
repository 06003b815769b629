package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/environment"
)

// Days over Thrift violate no rule, and a seed has one history.
func TestDaysOverThrift(t *testing.T) {
	t.Parallel()
	play := func(seed uint64, speech environment.Protocol) *Result {
		s := Options{}.DrawScript(seed)
		require.NotEmpty(t, s.Faults)
		s.LengthSeconds = 20
		r, err := Play(s, Options{Protocol: speech})
		require.NoError(t, err)
		for _, f := range r.Violations {
			t.Errorf("%s, seed %d: %s at %.6f: %s; replay with: hazellab sim --seed %d --speech %s --trace", speech, seed, f.Rule,
				r.SinceStart(f.At), f.Reason, seed, speech)
		}
		assert.Positive(t, r.Report.Service)
		return r
	}
	seen := map[uint64]bool{}
	for _, seed := range []uint64{2, 14, 21} {
		for _, speech := range environment.Protocols {
			seen[play(seed, speech).Hash] = true
		}
	}
	assert.Len(t, seen, 9, "no two days are one")
	assert.Equal(t, play(14, environment.ThriftCompact).Hash, play(14, environment.ThriftCompact).Hash)
}

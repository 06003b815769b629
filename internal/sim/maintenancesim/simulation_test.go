package maintenancesim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunSeeds(t *testing.T) {
	var sum Counts
	RunSeeds(1, 40, 2, func(r *Result) bool {
		require.Empty(t, r.Findings, "seed %d", r.Seed)
		sum.add(r.Counts)
		return true
	})
	t.Logf("%+v", sum)
	require.Positive(t, sum.Done)
	require.Positive(t, sum.HolderFaults, "lease holders failed as they wrote")
	require.Positive(t, sum.StaleWrites, "stale writes are rejected")
	require.Positive(t, sum.GivenBack)
	require.Positive(t, sum.Forced)
	a, b := Run(7, Options{}), Run(7, Options{})
	require.Equal(t, a.Hash, b.Hash, "the same history each time")
}

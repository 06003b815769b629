package sim

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Sidecars hold leases of roles in simulated time, over disks that lose, truncate and restore states: a lease is granted, and
// no effect of a former owner is accepted.
func TestRolesOnADay(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		o := Options{FleetMode: FleetWithRoles}
		r, err := Play(o.DrawScript(seed), o)
		require.NoError(t, err)
		assert.Empty(t, r.Violations)
		assert.NotZero(t, r.MaxToken, "seed %d", seed)
		again, err := Play(o.DrawScript(seed), o)
		require.NoError(t, err)
		assert.Equal(t, r.Hash, again.Hash, "the same seed is the same history")
	}
}

// On a day without faults three of twelve sidecars watch the discovery, and updates reach the slowest sidecar no later than
// with a watch of each.
func TestFleetRelaysLists(t *testing.T) {
	play := func(together FleetMode) (w ListObserver) {
		o := Options{FleetMode: together, Sidecars: 12, Observer: &w}
		s := o.DrawScript(1)
		s.Faults = RollingReleases(s.Day(o.Ranges()))
		r, err := Play(s, o)
		require.NoError(t, err)
		assert.Empty(t, r.Violations)
		require.Greater(t, len(w.SlowestDelays), 10)
		return w
	}
	own, passed := play(FleetOn), play(FleetWithRoles)
	assert.Equal(t, 12, own.MaxWatches)
	assert.Equal(t, 3, passed.MaxWatches)
	assert.Less(t, slices.Max(passed.SlowestDelays), slices.Max(own.SlowestDelays)+0.3)
}

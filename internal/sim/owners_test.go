package sim

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The real sidecars own jobs in simulated time too, over disks that lose, tear and put back old states: one is granted the job, and
// no old owner's effect is taken.
func TestOwnersOnADay(t *testing.T) {
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

// On a quiet day three of twelve watch, and the list is no older at the slowest sidecar than with a watch of each one's own.
func TestListsArePassedOn(t *testing.T) {
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

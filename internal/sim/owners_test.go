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
		o := Options{Together: TogetherOwners}
		r, err := Play(o.DrawScript(seed), o)
		require.NoError(t, err)
		assert.Empty(t, r.Findings)
		assert.NotZero(t, r.Granted, "seed %d", seed)
		again, err := Play(o.DrawScript(seed), o)
		require.NoError(t, err)
		assert.Equal(t, r.Hash, again.Hash, "the same seed is the same history")
	}
}

// On a quiet day three of twelve watch, and the list is no older at the slowest sidecar than with a watch of each one's own.
func TestListsArePassedOn(t *testing.T) {
	play := func(together Together) (w ListWitness) {
		o := Options{Together: together, Sidecars: 12, Watch: &w}
		s := o.DrawScript(1)
		s.Faults = Releases(s.Day(o.Ranges()))
		r, err := Play(s, o)
		require.NoError(t, err)
		assert.Empty(t, r.Findings)
		require.Greater(t, len(w.Slowest), 10)
		return w
	}
	own, passed := play(TogetherAll), play(TogetherOwners)
	assert.Equal(t, 12, own.Watches)
	assert.Equal(t, 3, passed.Watches)
	assert.Less(t, slices.Max(passed.Slowest), slices.Max(own.Slowest)+0.3)
}

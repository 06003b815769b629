package leasesim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOwners(t *testing.T) {
	var sum Counts
	RunSeeds(1, 24, 3, func(r *Result) bool {
		require.Empty(t, r.Findings, "seed %d", r.Seed)
		sum.Grants += r.Counts.Grants
		sum.Rejected += r.Counts.Rejected
		return true
	})
	require.Positive(t, sum.Rejected, "old owners have acted, and were refused")
}

// On the day of seed 20 a leader loses its quorum while its disk writes.
func TestOneSeedOneHistory(t *testing.T) {
	for seed, again := range map[uint64]int{7: 1, 20: 6} {
		was := Run(seed, Options{}).Hash
		for range again {
			require.Equal(t, was, Run(seed, Options{}).Hash, "seed %d", seed)
		}
	}
}

// One elector of three is gone for good and replaced. Then all are killed, and the leader that replaced it comes back no more: the
// two that are left are a majority of those who are electors now. Danger: who does not keep that the change is agreed still wants a
// majority of those who were.
func TestChangeOfElectorsOutlivesItsLeader(t *testing.T) {
	for seed := range uint64(10) {
		w := quiet(seed, 6, 3, "list")
		leader := w.leaderNow()
		require.NotNil(t, leader)
		for _, n := range w.nodes {
			if n != leader && n.t.Stats().IsVoter {
				n.kill()
				n.out = true
				break
			}
		}
		for until := w.Now() + 90; w.counts.VotersReplaced == 0 && w.Now() < until; {
			w.Until(w.Now() + 0.1)
		}
		require.Positive(t, w.counts.VotersReplaced, "seed %d", seed)
		w.Until(w.Now() + 1)
		leader.out = true
		for _, n := range w.nodes {
			if n.up {
				n.kill()
			}
			n.start()
		}
		w.Until(w.Now() + 20)
		require.NotNil(t, w.ownerOf("list"), "seed %d", seed)
		require.Empty(t, w.findings, "seed %d", seed)
	}
}

// Who would take a job says so, and begins again before it is granted. Danger: the grant is to its former life, so it gives the job
// back; a leader that goes by what it said before grants it again and again for as long as that counts.
func TestGrantToAFormerLifeIsNotRepeated(t *testing.T) {
	for seed := range uint64(20) {
		w := quiet(seed, 5, 3, "list")
		w.latencyS = 0.02
		owner, leader := w.ownerOf("list"), w.leaderNow()
		require.NotNil(t, owner)
		before, _ := owner.t.Holds(owner.clock(), "list")
		owner.call(owner.life, func() { owner.t.RequestStepDown(owner.clock(), "list") })
		w.Until(w.Now() + w.between(0.02, 0.15))
		for _, n := range w.nodes {
			if n != owner && n != leader {
				n.kill()
				n.start()
			}
		}
		w.Until(w.Now() + 6)
		next := w.ownerOf("list")
		require.NotNil(t, next, "seed %d", seed)
		after, _ := next.t.Holds(next.clock(), "list")
		require.LessOrEqual(t, after-before, uint64(4), "seed %d", seed)
		require.Empty(t, w.findings, "seed %d", seed)
	}
}

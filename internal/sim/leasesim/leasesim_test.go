package leasesim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRulesHoldUnderFaults(t *testing.T) {
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
func TestSeedDeterminesHistory(t *testing.T) {
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
func TestVoterChangeOutlivesItsLeader(t *testing.T) {
	for seed := range uint64(10) {
		s := newSettled(seed, 6, 3, "list")
		leader := s.leader()
		require.NotNil(t, leader)
		for _, n := range s.nodes {
			if n != leader && n.lease.Stats().IsVoter {
				n.kill()
				n.removed = true
				break
			}
		}
		for until := s.Now() + 90; s.counts.VotersReplaced == 0 && s.Now() < until; {
			s.Until(s.Now() + 0.1)
		}
		require.Positive(t, s.counts.VotersReplaced, "seed %d", seed)
		s.Until(s.Now() + 1)
		leader.removed = true
		for _, n := range s.nodes {
			if n.up {
				n.kill()
			}
			n.start()
		}
		s.Until(s.Now() + 20)
		require.NotNil(t, s.holderOf("list"), "seed %d", seed)
		require.Empty(t, s.findings, "seed %d", seed)
	}
}

// Who would take a job says so, and begins again before it is granted. Danger: the grant is to its former life, so it gives the job
// back; a leader that goes by what it said before grants it again and again for as long as that counts.
func TestGrantToFormerProcessIsNotRepeated(t *testing.T) {
	for seed := range uint64(20) {
		s := newSettled(seed, 5, 3, "list")
		s.latencySeconds = 0.02
		owner, leader := s.holderOf("list"), s.leader()
		require.NotNil(t, owner)
		before, _ := owner.lease.Holds(owner.localTime(), "list")
		owner.call(owner.incarnation, func() { owner.lease.RequestStepDown(owner.localTime(), "list") })
		s.Until(s.Now() + s.uniform(0.02, 0.15))
		for _, n := range s.nodes {
			if n != owner && n != leader {
				n.kill()
				n.start()
			}
		}
		s.Until(s.Now() + 6)
		next := s.holderOf("list")
		require.NotNil(t, next, "seed %d", seed)
		after, _ := next.lease.Holds(next.localTime(), "list")
		require.LessOrEqual(t, after-before, uint64(4), "seed %d", seed)
		require.Empty(t, s.findings, "seed %d", seed)
	}
}

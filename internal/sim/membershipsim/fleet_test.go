package membershipsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func requireAgreement(t *testing.T, f *Fleet, within float64) float64 {
	t.Helper()
	began := f.Now()
	for f.Now() < began+within {
		f.RunUntil(f.Now() + 0.1)
		if len(f.Discrepancies(1)) == 0 {
			return f.Now() - began
		}
	}
	require.Empty(t, f.Discrepancies(5))
	return 0
}

func startFleet(seed uint64, n int) *Fleet {
	f := New(seed)
	for i := range n {
		node := f.AddNode()
		join := f.Nodes[f.rng.IntN(max(i, 1))].Address
		f.At(f.Now()+float64(i)/100, func() { node.Start(true, join, f.Nodes[0].Address) })
	}
	return f
}

func TestFleetLearnsOfDeathsAndStalls(t *testing.T) {
	for _, n := range []int{2, 3, 7, 50, 100} {
		f := startFleet(1, n)
		f.RunUntil(f.Now() + float64(n)/100)
		t.Logf("%d: formed after %.1f s", n, requireAgreement(t, f, 20))
		f.Nodes[n-1].Kill()
		t.Logf("%d: a death known after %.1f s", n, requireAgreement(t, f, 10))
		f.Nodes[0].Freeze()
		t.Logf("%d: a freeze known after %.1f s", n, requireAgreement(t, f, 15))
		f.Nodes[0].Thaw()
		t.Logf("%d: and back after %.1f s", n, requireAgreement(t, f, 10))
	}
}

// When most members die at once, the others know within ten seconds, though each watched only a few.
func TestFleetLosesMostMembers(t *testing.T) {
	f := startFleet(2, 60)
	f.RunUntil(f.Now() + 1)
	requireAgreement(t, f, 20)
	for _, n := range f.Nodes[5:] {
		n.Kill()
	}
	t.Logf("55 of 60 deaths known after %.1f s", requireAgreement(t, f, 10))
}

// No member that is up and reachable for most is declared dead, and after each batch of faults all members agree.
func TestNoFalseDeathsUnderFaults(t *testing.T) {
	for _, n := range []int{3, 7, 20} {
		got, err := PlayFaults(n, 300, uint64(n))
		require.NoError(t, err)
		require.Zero(t, got.FalseDeaths, got.Discrepancies)
		require.Greater(t, got.Faults, 10)
	}
}

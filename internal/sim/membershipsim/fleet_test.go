package membershipsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func requireAgreement(t *testing.T, c *Fleet, within float64) float64 {
	t.Helper()
	began := c.Now()
	for c.Now() < began+within {
		c.Until(c.Now() + 0.1)
		if len(c.Discrepancies(1)) == 0 {
			return c.Now() - began
		}
	}
	require.Empty(t, c.Discrepancies(5))
	return 0
}

func startFleet(seed uint64, n int) *Fleet {
	c := New(seed)
	for i := range n {
		node := c.AddNode()
		join := c.Nodes[c.rng.IntN(max(i, 1))].Address
		c.At(c.Now()+float64(i)/100, func() { node.Start(true, join, c.Nodes[0].Address) })
	}
	return c
}

func TestFleetLearnsOfDeathsAndStalls(t *testing.T) {
	for _, n := range []int{2, 3, 7, 50, 100} {
		c := startFleet(1, n)
		c.Until(c.Now() + float64(n)/100)
		t.Logf("%d: met after %.1f s", n, requireAgreement(t, c, 20))
		c.Nodes[n-1].Kill()
		t.Logf("%d: a death known after %.1f s", n, requireAgreement(t, c, 10))
		c.Nodes[0].Freeze()
		t.Logf("%d: one that stands still is known after %.1f s", n, requireAgreement(t, c, 15))
		c.Nodes[0].Thaw()
		t.Logf("%d: and back after %.1f s", n, requireAgreement(t, c, 10))
	}
}

// Many go at once: those who are left know within ten seconds, though each watched a few alone.
func TestFleetLosesMostMembers(t *testing.T) {
	c := startFleet(2, 60)
	c.Until(c.Now() + 1)
	requireAgreement(t, c, 20)
	for _, n := range c.Nodes[5:] {
		n.Kill()
	}
	t.Logf("55 of 60 gone is known after %.1f s", requireAgreement(t, c, 10))
}

// Nobody is called dead that lives and that most can reach, and after each lot of drawn troubles all hold what is so.
func TestNoFalseDeathsUnderFaults(t *testing.T) {
	for _, n := range []int{3, 7, 20} {
		got, err := PlayFaults(n, 300, uint64(n))
		require.NoError(t, err)
		require.Zero(t, got.FalseDeaths, got.Discrepancies)
		require.Greater(t, got.Faults, 10)
	}
}

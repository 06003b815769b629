package subsetsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The strategies in use keep what the design note says of them beside the former ones, and a seed determines the figures.
func TestPositionsSpreadLoadEvenly(t *testing.T) {
	figures := map[string]Result{}
	for _, w := range Strategies() {
		if !w.Slow {
			figures[w.Name] = Measure(w, 300, 200, true, 1)
		}
	}
	taken, today := figures["rotation by traffic, held"], figures["today, by rank"]
	require.Less(t, taken.PeakLoad, 1.15)
	require.Less(t, taken.PeakLoadInChurn, 1.3)
	require.Less(t, 10*taken.MovesPerSidecar, today.MovesPerSidecar)
	require.GreaterOrEqual(t, taken.MinSidecarsPerServer, 2)
	require.Less(t, figures["golden steps, held"].MovesPerSidecar, 0.01, "who goes by number alone moves for no sidecar that comes")
	require.Equal(t, today, Measure(Strategies()[1], 300, 200, true, 1))
}

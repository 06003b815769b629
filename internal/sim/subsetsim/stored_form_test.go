package subsetsim

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFiguresFormIsKept writes figures as the command prints them as JSON, all fields set.
func TestFiguresFormIsKept(t *testing.T) {
	raw, err := json.Marshal(Result{Strategy: "way", Sidecars: 1, Servers: 2, Unequal: true, PeakLoad: 1.5, PeakLoadInChurn: 2.5, WorstSecond: 3.5, MinSidecarsPerServer: 3, MovesPerServer: 4.5,
		MovesPerSidecar: 5.5, MovesInChurn: 6.5, LinksPerSidecar: 7.5, MaxZoneLoad: 8.5, SmallestZoneLoad: 9.5})
	require.NoError(t, err)
	require.Equal(t, `{"way":"way","sidecars":1,"boxes":2,"unequal":true,"busiest_over_mean":1.5,"busiest_over_mean_in_change":2.5,"worst_second":3.5,`+
		`"least_sidecars_at_a_box":3,"moves_by_a_box":4.5,"moves_by_a_sidecar":5.5,"moves_in_change":6.5,"links_of_a_sidecar":7.5,"busiest_zone_over_mean":8.5,`+
		`"smallest_zone_over_mean":9.5}`, string(raw))
}

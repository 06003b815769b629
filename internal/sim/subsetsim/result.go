package subsetsim

import (
	"fmt"
)

// Result is the measurement of a strategy for a size of the fleet. Loads are over the mean load of a server.
type Result struct {
	Strategy             string  `json:"way"`
	Sidecars             int     `json:"sidecars"`
	Servers              int     `json:"boxes"`
	Unequal              bool    `json:"unequal"`
	PeakLoad             float64 `json:"busiest_over_mean"`
	PeakLoadInChurn      float64 `json:"busiest_over_mean_in_change"` // mean of all seconds
	WorstSecond          float64 `json:"worst_second"`
	MinSidecarsPerServer int     `json:"least_sidecars_at_a_box"`
	MovesPerServer       float64 `json:"moves_by_a_box"`     // for a new server, over the least possible
	MovesPerSidecar      float64 `json:"moves_by_a_sidecar"` // for a new sidecar, over its own connections
	MovesInChurn         float64 `json:"moves_in_change"`    // over the least possible
	LinksPerSidecar      float64 `json:"links_of_a_sidecar"`
	MaxZoneLoad          float64 `json:"busiest_zone_over_mean"`
	SmallestZoneLoad     float64 `json:"smallest_zone_over_mean"`
}

// String returns a line of a table below TableHeader.
func (f Result) String() string {
	traffic := "equal"
	if f.Unequal {
		traffic = "unequal"
	}
	return fmt.Sprintf("%5d %5d  %-7s  %-26s  %5.2f  %5.2f  %5.2f  %4d  %6.1f  %6.2f  %6.1f  %6.1f  %5.2f %5.2f", f.Sidecars, f.Servers, traffic, f.Strategy, f.PeakLoad, f.PeakLoadInChurn,
		f.WorstSecond, f.MinSidecarsPerServer, f.MovesPerServer, f.MovesPerSidecar, f.MovesInChurn, f.LinksPerSidecar, f.MaxZoneLoad, f.SmallestZoneLoad)
}

// sizeLabel names the size of the fleet in a chart.
func (f Result) sizeLabel() string { return fmt.Sprintf("%d, %d", f.Sidecars, f.Servers) }

// TableHeader is the line above a table of results.
const TableHeader = "sidecars boxes        way                    steady change  worst least  box x  sidecar  change x  links  zones: most, small"

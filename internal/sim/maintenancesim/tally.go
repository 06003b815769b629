package maintenancesim

import "hazelwheel/internal/sim/seeds"

// Tally sums the results of runs.
type Tally struct {
	seeds.Tally
	Counts Counts `json:"counts"`
}

// Add adds a result.
func (t *Tally) Add(r *Result) {
	t.Tally.Add(r.Seed, r.Steps, r.Hash, r.Findings)
	t.Counts.add(r.Counts)
}

func (c *Counts) add(o Counts) {
	c.Plans += o.Plans
	c.WorkStarted += o.WorkStarted
	c.Done += o.Done
	c.Skipped += o.Skipped
	c.Lost += o.Lost
	c.Forced += o.Forced
	c.GivenBack += o.GivenBack
	c.Leases += o.Leases
	c.HolderFaults += o.HolderFaults
	c.StaleWrites += o.StaleWrites
}

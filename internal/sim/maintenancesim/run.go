package maintenancesim

import "hazelwheel/internal/sim/seeds"

// Tally sums days.
type Tally struct {
	seeds.Tally
	Counts Counts `json:"counts"`
}

// Add adds a day.
func (t *Tally) Add(r *Result) {
	t.Tally.Add(r.Seed, r.Steps, r.Hash, r.Findings)
	t.Counts.add(r.Counts)
}

func (c *Counts) add(o Counts) {
	c.Plans += o.Plans
	c.Worked += o.Worked
	c.Done += o.Done
	c.Skipped += o.Skipped
	c.Lost += o.Lost
	c.Forced += o.Forced
	c.Backed += o.Backed
	c.Owners += o.Owners
	c.Stopped += o.Stopped
	c.Refused += o.Refused
}

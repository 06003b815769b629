package leasesim

import "hazelwheel/internal/sim/seeds"

// Tally sums the results of many seeds.
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
	c.Grants += o.Grants
	c.Moves += o.Moves
	c.Effects += o.Effects
	c.Rejected += o.Rejected
	c.Stalls += o.Stalls
	c.ElectionsWon += o.ElectionsWon
	c.IdentitiesLost += o.IdentitiesLost
	c.GroupsFounded += o.GroupsFounded
	c.VotersReplaced += o.VotersReplaced
}

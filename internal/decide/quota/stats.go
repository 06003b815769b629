package quota

import "slices"

// Stats count a group's requests.
type Stats struct {
	Served  uint64
	Refused uint64
}

// Refusal is why a group's last refusal was made.
type Refusal struct {
	At     float64
	Limit  int32 // in Tree.Limits; -1: there was none
	Capped bool  // a cap was reached, of the group or one above it
	Lacked float64
	AfterS float64
	Own    float64 // the group's own level then
}

// GroupCounts is how often a group's requests were taken up and refused.
type GroupCounts struct {
	Group    string `json:"group"`
	Served   uint64 `json:"served"`
	Rejected uint64 `json:"refused"`
}

// TopRejected returns the groups with most refusals, at most so many, the one with most first.
func (l *Limiter) TopRejected(limit int) []GroupCounts {
	all := make([]GroupCounts, 0, limit+1)
	for g, s := range l.stats {
		if s.Refused == 0 || len(all) == limit && s.Refused <= all[limit-1].Rejected {
			continue
		}
		at, _ := slices.BinarySearchFunc(all, s.Refused, func(table GroupCounts, n uint64) int {
			if table.Rejected >= n { // of equals the first in the tree
				return -1
			}
			return 1
		})
		all = slices.Insert(all, at, GroupCounts{l.tree.Path(int32(g)), s.Served, s.Refused})
		all = all[:min(len(all), limit)]
	}
	return all
}

// Stats returns a group's requests, without those of the groups below it.
func (l *Limiter) Stats(g int32) Stats { return l.stats[g] }

// Tally returns what has happened to a group's account, and its balance with its parent. It is settled as of the last call.
func (l *Limiter) Tally(g int32, limit int) (tally Tally, balance float64) {
	table := l.tables[limit]
	table.settleChain(g, l.now)
	return table.accounts[g].Tally, table.accounts[g].Balance
}

// Lost returns what of a limit's quota has found no room since nobody wanted it.
func (l *Limiter) Lost(limit int) float64 {
	l.tables[limit].settleAll(l.now)
	return l.tables[limit].overflow
}

// LostAt is Lost at a time.
func (l *Limiter) LostAt(now float64, limit int) float64 {
	l.advance(now)
	return l.Lost(limit)
}

// WasCapped tells whether a group's last refusal was for a cap.
func (l *Limiter) WasCapped(g int32) bool { return l.refusals[g].Limit >= 0 && l.refusals[g].Capped }

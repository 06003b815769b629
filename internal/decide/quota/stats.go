package quota

import "slices"

// Stats counts a group's requests. It is part of the stored form.
type Stats struct {
	Served  uint64
	Refused uint64
}

// Refusal describes a group's last rejected request. It is part of the stored form.
type Refusal struct {
	At     float64
	Limit  int32   // index in Tree.Limits; -1 if no request was rejected
	Capped bool    // rejected by the cap of the group or of one above it
	Lacked float64 // how much was missing
	AfterS float64 // Decision.RetryAfterSeconds
	Own    float64 // the level of the group's own account
}

// GroupCounts holds the numbers of a group's admitted and rejected requests.
type GroupCounts struct {
	Group    string `json:"group"`
	Served   uint64 `json:"served"`
	Rejected uint64 `json:"refused"`
}

// TopRejected returns the groups with the most rejected requests, in descending order and limit at most.
func (l *Limiter) TopRejected(limit int) []GroupCounts {
	all := make([]GroupCounts, 0, limit+1)
	for g, s := range l.stats {
		if s.Refused == 0 || len(all) == limit && s.Refused <= all[limit-1].Rejected {
			continue
		}
		at, _ := slices.BinarySearchFunc(all, s.Refused, func(other GroupCounts, n uint64) int {
			if other.Rejected >= n { // equal counts are in the order of the tree
				return -1
			}
			return 1
		})
		all = slices.Insert(all, at, GroupCounts{l.tree.Path(int32(g)), s.Served, s.Refused})
		all = all[:min(len(all), limit)]
	}
	return all
}

// Stats returns the counts of a group, without the groups below it.
func (l *Limiter) Stats(g int32) Stats { return l.stats[g] }

// Tally returns the tally of a group's account and its balance with its parent, as of the last call.
func (l *Limiter) Tally(g int32, limit int) (tally Tally, balance float64) {
	table := l.tables[limit]
	table.settleChain(g, l.now)
	return table.accounts[g].Tally, table.accounts[g].Balance
}

// Lost returns how much of a limit's quota has overflowed the root, as of the last call.
func (l *Limiter) Lost(limit int) float64 {
	l.tables[limit].settleAll(l.now)
	return l.tables[limit].overflow
}

// LostAt is Lost as of the given time.
func (l *Limiter) LostAt(now float64, limit int) float64 {
	l.advance(now)
	return l.Lost(limit)
}

// WasCapped reports whether the group's last rejected request was rejected by a cap.
func (l *Limiter) WasCapped(g int32) bool { return l.refusals[g].Limit >= 0 && l.refusals[g].Capped }

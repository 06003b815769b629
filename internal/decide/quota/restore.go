package quota

// Restore returns a limiter that continues from a state. With the same tree and settings it continues as if it had never stopped.
// Otherwise groups keep their accounts by path and limit, as WithTree describes.
func Restore(tree *Tree, settings Settings, s *State, now float64) *Limiter {
	s.fillNames()
	if now < s.At {
		s.shiftTimes(now - s.At)
	}
	l := New(tree, settings, s.At)
	if tree.fingerprint(&l.settings) == s.Mark && len(s.Paths) == tree.Len() {
		copy(l.stats, s.Stats)
		copy(l.refusals, s.Refusals)
		for i, table := range l.tables {
			if table != nil {
				copy(table.accounts, s.Books[i].accounts)
				table.overflow = s.Books[i].Lost
				table.queue = append(table.queue[:0], s.Books[i].Queue...)
				clear(table.queueIndex)
				for at, x := range table.queue {
					table.queueIndex[x.Cell] = int32(at + 1)
				}
			}
		}
	} else {
		l.adoptState(s)
	}
	l.advance(now)
	return l
}

// shiftTimes adds an offset to all times of a state. Danger: if the clock was set back while the program was down, the limiter would
// otherwise stand still until the clock reaches the time of the state.
func (s *State) shiftTimes(offset float64) {
	s.At += offset
	for i := range s.Refusals {
		s.Refusals[i].At += offset
	}
	for i := range s.Books {
		state := &s.Books[i]
		for n := range state.accounts {
			a := &state.accounts[n]
			a.SettledAt, a.LastDrawnAt, a.CapSettledAt = a.SettledAt+offset, a.LastDrawnAt+offset, a.CapSettledAt+offset
			a.Epoch, a.AskedEpoch, a.DemandWindow = -1, -1, -1
		}
		for n := range state.Queue {
			state.Queue[n].Due += offset
		}
	}
}

// adoptState takes accounts and counters from a state of another tree. It returns the numbers of the state's groups in the current
// tree, -1 for removed ones.
func (l *Limiter) adoptState(s *State) []int {
	s.fillNames()
	to := make([]int, len(s.Paths))
	for n, path := range s.Paths {
		if to[n] = 0; n == 0 {
			continue
		}
		if to[n] = -1; path != "" {
			if g, ok := l.tree.Find(path); ok && l.tree.nodes[g].path == path {
				to[n] = int(g)
			}
		}
	}
	for n, g := range to {
		if g >= 0 {
			l.stats[g] = s.Stats[n]
			if r := s.Refusals[n]; r.Limit >= 0 && int(r.Limit) < len(s.Limits) {
				r.Limit = int32(l.tree.limitIndex(s.Limits[r.Limit]))
				l.refusals[g] = r
			}
		}
	}
	for i, name := range s.Limits {
		if j := l.tree.limitIndex(name); j >= 0 && l.tables[j] != nil && len(s.Books[i].accounts) > 0 {
			l.tables[j].adoptAccounts(s.Books[i].accounts, to, l.now)
			l.tables[j].overflow = s.Books[i].Lost
		}
	}
	return to
}

// adoptAccounts takes over the accounts of another tree; to maps its groups to the current ones.
func (t *accountTable) adoptAccounts(oldAccounts []account, to []int, now float64) {
	for n, g := range to {
		if g < 0 {
			continue
		}
		a, old := &t.accounts[g], &oldAccounts[n]
		a.CapLevel = min(old.CapLevel, a.CapLevel)
		if a.Level = min(old.Level, a.Capacity); !t.tree.links[g].inner {
			// Danger: the added capacity of a bucket must be full, or the bucket is below its floor until it fills.
			a.Level += max(a.Capacity-old.Capacity, 0)
		}
		if t.tree.links[g].inner {
			a.Level = max(a.Level, 0)
		}
		a.Balance, a.Drawn, a.LastDrawnAt, a.Tally = old.Balance, old.Drawn, old.LastDrawnAt, old.Tally
		a.Turn, a.AskedEpoch, a.Epoch = old.Turn, old.AskedEpoch, old.Epoch
		a.Wanting, a.Wanted, a.Claiming, a.Claimed = old.Wanting, old.Wanted, old.Claiming, old.Claimed
	}
	t.accounts[0].Balance = 0
	for n := range t.accounts {
		t.accounts[n].Equity = 0
	}
	for n := range t.accounts { // tokens that no balance accounts for become equity; a negative difference is written off
		a := &t.accounts[n]
		if t.tree.nodes[n].inner {
			a.Equity += a.Level + a.Balance
		}
		if n > 0 {
			t.accounts[t.tree.nodes[n].parent].Equity -= a.Balance
		}
	}
	t.resetFlows(now)
}

package quota

// Audit checks the invariants of all accounts: their levels, their children's balances and their tallies must match. It returns the
// largest discrepancy, which is 0 except for rounding, and where it is.
func (l *Limiter) Audit(now float64) (worst float64, at string) {
	now = l.advance(now)
	for _, table := range l.tables {
		if table == nil {
			continue
		}
		table.settleAll(now)
		sums := make([]float64, len(table.accounts))
		for n := len(table.accounts) - 1; n >= 0; n-- {
			a, group := &table.accounts[n], &l.tree.nodes[n]
			discrepancy := 0.0
			if group.inner {
				discrepancy = max(abs(a.Level-a.Equity-sums[n]+a.Balance), -a.Level, a.Level-a.Capacity)
			} else {
				discrepancy = a.Level - a.Capacity
			}
			tally := &a.Tally
			discrepancy = max(discrepancy, abs(a.Balance-(tally.Lent-tally.Returned-tally.Borrowed+tally.Repaid+tally.Forgiven-tally.Expired)))
			if discrepancy /= 1 + 1e-9*tally.Used; discrepancy > worst {
				worst, at = discrepancy, table.limit.Name()+" of "+l.tree.Path(int32(n))
			}
			if n > 0 {
				sums[group.parent] += a.Balance
			}
		}
	}
	return worst, at
}

// abs returns the absolute value.
func abs(v float64) float64 { return max(v, -v) }

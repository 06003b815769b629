package quota

// Audit returns by how much the accounts of a group, those of its children and what it holds disagree, the worst of all
// limits; it is 0 but for the last digits of sums.
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
			off := 0.0
			if group.inner {
				off = max(abs(a.Level-a.Equity-sums[n]+a.Balance), -a.Level, a.Level-a.Capacity)
			} else {
				off = a.Level - a.Capacity
			}
			y := &a.Tally
			off = max(off, abs(a.Balance-(y.Lent-y.Returned-y.Borrowed+y.Repaid+y.Forgiven-y.Expired)))
			if off /= 1 + 1e-9*y.Used; off > worst {
				worst, at = off, table.limit.Name()+" of "+l.tree.Path(int32(n))
			}
			if n > 0 {
				sums[group.parent] += a.Balance
			}
		}
	}
	return worst, at
}

func abs(v float64) float64 { return max(v, -v) }

package quota

// recordDemand records what a group asks for. If recent demand exceeds this sidecar's part of the group's quota, it increases the
// part, by the fraction stretch at most: a group that asks for more than its part here usually asks for less at other sidecars.
// Danger: without the limit, the parts of all sidecars could add up to many times the quota. A part is never reduced, since what
// is left over here can't be lent to other sidecars.
func (t *accountTable) recordDemand(group int32, amount, stretch, now float64) {
	a := &t.accounts[group]
	if epoch := int64(now / t.limit.WindowSeconds); a.DemandWindow != epoch {
		if a.DemandWindow >= 0 && a.OwnInflow > 0 {
			if a.DemandWindow < epoch-1 {
				a.DemandRate = 0
			}
			a.DemandRate += 0.5 * (a.Demand/t.limit.WindowSeconds - a.DemandRate)
			a.Stretch = min(max(a.DemandRate/a.OwnInflow-1, 0), stretch)
			t.setInflow(group, a.OwnInflow*(1+a.Stretch), now)
		}
		a.DemandWindow, a.Demand = epoch, 0
	}
	a.Demand += amount
}

// resetStretch ends the stretch of a group that has had no requests.
func (t *accountTable) resetStretch(n int32) {
	if a := &t.accounts[n]; !t.tree.links[n].inner {
		a.Stretch, a.DemandRate = 0, 0
		a.Inflow = a.OwnInflow
	}
}

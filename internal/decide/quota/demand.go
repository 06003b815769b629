package quota

// recordDemand records what a group asks for, and stretches the sidecar's part of the group's quota by recent demand, within the
// bound: a group that asks for more than its part here usually asks for less elsewhere. Danger: without the bound, the parts of
// all sidecars could add up to many times the quota. A part is never reduced, since what is left over here could not be lent to
// other sidecars.
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

// resetStretch ends the stretch of a group that has asked for nothing.
func (t *accountTable) resetStretch(n int32) {
	if a := &t.accounts[n]; !t.tree.links[n].inner {
		a.Stretch, a.DemandRate = 0, 0
		a.Inflow = a.OwnInflow
	}
}

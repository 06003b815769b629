package quota

// recordDemand notes what a group asks for, and stretches its part of a fleet's quota by what it has asked for lately, within the
// bounds: where it asks for more than its part, it asks for less elsewhere, as a rule. Danger: without bounds the parts of
// all sidecars together would be any number of quotas. What nobody asks for here is not cut: it would be lent to nobody.
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

// resetStretch has a group that has asked for nothing have its plain part.
func (t *accountTable) resetStretch(n int32) {
	if a := &t.accounts[n]; !t.tree.links[n].inner {
		a.Stretch, a.DemandRate = 0, 0
		a.Inflow = a.OwnInflow
	}
}

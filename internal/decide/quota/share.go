package quota

import "math"

// canDraw tells whether a child may draw on a pool now, and notes that it asks. The account is settled.
//
// Who has deposited goes before who borrows. Those who borrow go in turns by their weights as long as the pool holds
// less than half; beyond that nobody else wants what is there, and to keep it back would waste it.
func (t *accountTable) canDraw(n int32, now float64) bool {
	a, g := &t.accounts[n], &t.tree.links[n]
	pool := &t.accounts[g.parent]
	epoch := int64(now / t.epochSeconds)
	if pool.Epoch != epoch {
		if pool.Epoch != epoch-1 {
			pool.Wanting, pool.Claiming = 0, 0
		}
		pool.Epoch, pool.Wanted, pool.Claimed, pool.Wanting, pool.Claiming = epoch, pool.Wanting, pool.Claiming, 0, 0
	}
	if a.AskedEpoch != epoch {
		a.AskedEpoch = epoch
		if pool.Wanting += g.weight; a.Balance > 0 {
			pool.Claiming += g.weight
		}
	}
	switch {
	case pool.Level >= pool.Capacity/2, a.Balance > 0:
		return true
	case pool.Claimed > 0, g.weight == 0:
		return false
	case pool.Wanted <= g.weight: // nobody else wants anything
		return true
	}
	// Danger: a turn that could be saved up, or overdrawn without bound, would shut others out later, or itself.
	bound := pool.Capacity / pool.Wanted
	a.Drawn = min(max(a.Drawn, pool.Turn-bound), pool.Turn+bound)
	return a.Drawn <= pool.Turn
}

// available returns what a request may take of an account.
func (a *account) available(floor bool) float64 {
	if floor {
		return max(a.Level, 0)
	}
	return max(a.Level-a.Reserve, 0)
}

// shortfall returns what a need lacks in a group's own bucket and the pools above it, up to which the accounts are settled; 0:
// it can be had.
func (t *accountTable) shortfall(group int32, need float64, floor bool, now float64) float64 {
	need -= t.accounts[group].available(floor)
	for n := group; need > 0; {
		parent := t.tree.links[n].parent
		if parent < 0 {
			return need
		}
		if t.canDraw(n, now) {
			need -= t.accounts[parent].available(floor)
		}
		n = parent
	}
	return 0
}

// capWaitSeconds returns how long a group, or one above it, is held by its cap; 0: it is not.
func (t *accountTable) capWaitSeconds(group int32, need, now float64) (waitS float64) {
	for n := group; n > 0; n = t.tree.links[n].parent {
		a := &t.accounts[n]
		if a.CapRate == math.Inf(1) {
			continue
		}
		if dt := now - a.CapSettledAt; dt > 0 {
			a.CapSettledAt = now
			a.CapLevel = min(a.CapLevel+a.CapRate*dt, max(a.CapRate*t.limit.WindowSeconds, t.minCapacity()))
		}
		if missing := need - a.CapLevel; missing > 0 {
			waitS = max(waitS, t.waitSeconds(missing, a.CapRate))
		}
	}
	return waitS
}

// charge books an amount on a group: from its own bucket, then from the pools above it, the nearest first. What is not there
// makes the bucket's level negative.
func (t *accountTable) charge(group int32, amount float64, floor bool, now float64) {
	for n := group; n >= 0; n = t.tree.links[n].parent {
		a := &t.accounts[n]
		a.Tally.Used += amount
		if a.CapRate < math.Inf(1) {
			a.CapLevel -= amount
		}
	}
	a := &t.accounts[group]
	if parent := t.tree.links[group].parent; a.IsOverflowing && a.Balance >= amount && t.accounts[parent].available(floor) >= amount {
		// Its bucket is full, and what it has let flow over is still there: it has that back. Danger: to wake up for each
		// request and to overflow again soon after costs more than all the rest where 100,000 groups ask now and then.
		t.drawFromPool(group, parent, amount, now)
		return
	}
	t.markDrawn(group, now)
	own := min(amount, a.available(floor))
	a.Level -= own
	amount -= own
	for n := t.tree.links[group].parent; n >= 0 && amount > 0; n = t.tree.links[n].parent {
		if pool := &t.accounts[n]; pool.available(floor) > 0 && t.canDraw(t.childAbove(group, n), now) {
			drawn := min(amount, pool.available(floor))
			t.drawFromPool(group, n, drawn, now)
			amount -= drawn
		}
	}
	a.Level -= amount
}

// childAbove returns the child of a pool that a group is, or is below.
func (t *accountTable) childAbove(group, pool int32) int32 {
	for t.tree.links[group].parent != pool {
		group = t.tree.links[group].parent
	}
	return group
}

// drawFromPool has a group draw on a pool above it: each group on the way draws on its parent. What is nobody's deposit is free.
func (t *accountTable) drawFromPool(group, from int32, amount, now float64) {
	t.markDrawn(from, now)
	pool := &t.accounts[from]
	pool.Level -= amount
	free := min(amount, max(pool.Equity, 0))
	pool.Equity -= free
	for n := group; n != from; n = t.tree.links[n].parent {
		a := &t.accounts[n]
		if w := t.tree.links[n].weight; w > 0 {
			a.Drawn += amount / w
		}
		loan := amount - free
		back := min(loan, max(a.Balance, 0))
		a.Balance -= loan
		a.Tally.Free += free
		a.Tally.Returned += back
		a.Tally.Borrowed += loan - back
	}
}

// minCapacity is what every bucket and cap holds in time.
func (t *accountTable) minCapacity() float64 {
	if t.limit.Measure == Requests {
		return 1
	}
	return 0
}

// waitSeconds returns how long an amount takes at a rate. Nobody is told to wait for longer than a window, or a request's time
// where a window brings less than one.
func (t *accountTable) waitSeconds(amount, rate float64) float64 {
	longest := max(t.limit.WindowSeconds, t.minCapacity()/max(rate, 1e-9))
	return min(max(amount/max(rate, 1e-9)+1e-6, 1e-3), longest, 31*86400) // a clock's last digit is not waited for
}

// retryAfterSeconds returns when what a need lacks could be had: of the own bucket alone, or of the group's turn at the nearest pool
// that something comes to, whichever is sooner.
func (t *accountTable) retryAfterSeconds(group int32, need float64, floor bool) float64 {
	a := &t.accounts[group]
	rate := a.Inflow
	if a.Balance < 0 {
		rate *= 1 - t.repayFraction
	}
	reserve := a.Reserve
	if floor {
		reserve = 0
	}
	soonest := t.waitSeconds(need+reserve-a.Level, rate)
	for n := group; t.tree.links[n].parent >= 0; n = t.tree.links[n].parent {
		pool, w := &t.accounts[t.tree.links[n].parent], t.tree.links[n].weight
		if pool.Inflow > 0 && w > 0 && !floor {
			missing := need - a.available(floor) - pool.available(floor)
			return min(soonest, t.waitSeconds(max(missing, 0), pool.Inflow*w/max(pool.Wanted, w)))
		}
	}
	return soonest
}

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

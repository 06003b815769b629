package quota

import "math"

// canDraw tells whether a child may draw on a pool now, and notes that it asks. The account is settled.
//
// Who has deposited goes before who borrows. Those who borrow go in turns by their weights as long as the pool holds
// less than half; beyond that nobody else wants what is there, and to keep it back would waste it.
func (b *accountTable) canDraw(n int32, now float64) bool {
	c, g := &b.accounts[n], &b.tree.links[n]
	p := &b.accounts[g.parent]
	e := int64(now / b.epochSeconds)
	if p.Epoch != e {
		if p.Epoch != e-1 {
			p.Wanting, p.Claiming = 0, 0
		}
		p.Epoch, p.Wanted, p.Claimed, p.Wanting, p.Claiming = e, p.Wanting, p.Claiming, 0, 0
	}
	if c.AskedEpoch != e {
		c.AskedEpoch = e
		if p.Wanting += g.weight; c.Balance > 0 {
			p.Claiming += g.weight
		}
	}
	switch {
	case p.Level >= p.Capacity/2, c.Balance > 0:
		return true
	case p.Claimed > 0, g.weight == 0:
		return false
	case p.Wanted <= g.weight: // nobody else wants anything
		return true
	}
	// Danger: a turn that could be saved up, or overdrawn without bound, would shut others out later, or itself.
	most := p.Capacity / p.Wanted
	c.Drawn = min(max(c.Drawn, p.Turn-most), p.Turn+most)
	return c.Drawn <= p.Turn
}

// available returns what a request may take of an account.
func (c *account) available(floor bool) float64 {
	if floor {
		return max(c.Level, 0)
	}
	return max(c.Level-c.Reserve, 0)
}

// shortfall returns what a need lacks in a group's own bucket and the pools above it, up to which the accounts are settled; 0:
// it can be had.
func (b *accountTable) shortfall(g int32, need float64, floor bool, now float64) float64 {
	need -= b.accounts[g].available(floor)
	for n := g; need > 0; {
		parent := b.tree.links[n].parent
		if parent < 0 {
			return need
		}
		if b.canDraw(n, now) {
			need -= b.accounts[parent].available(floor)
		}
		n = parent
	}
	return 0
}

// capWaitSeconds returns how long a group, or one above it, is held by its cap; 0: it is not.
func (b *accountTable) capWaitSeconds(g int32, need, now float64) (waitS float64) {
	for n := g; n > 0; n = b.tree.links[n].parent {
		c := &b.accounts[n]
		if c.CapRate == math.Inf(1) {
			continue
		}
		if dt := now - c.CapSettledAt; dt > 0 {
			c.CapSettledAt = now
			c.CapLevel = min(c.CapLevel+c.CapRate*dt, max(c.CapRate*b.limit.WindowSeconds, b.minCapacity()))
		}
		if lacks := need - c.CapLevel; lacks > 0 {
			waitS = max(waitS, b.waitSeconds(lacks, c.CapRate))
		}
	}
	return waitS
}

// charge books an amount on a group: from its own bucket, then from the pools above it, the nearest first. What is not there
// makes the bucket's level negative.
func (b *accountTable) charge(g int32, amount float64, floor bool, now float64) {
	for n := g; n >= 0; n = b.tree.links[n].parent {
		c := &b.accounts[n]
		c.Tally.Used += amount
		if c.CapRate < math.Inf(1) {
			c.CapLevel -= amount
		}
	}
	c := &b.accounts[g]
	if parent := b.tree.links[g].parent; c.IsOverflowing && c.Balance >= amount && b.accounts[parent].available(floor) >= amount {
		// Its bucket is full, and what it has let flow over is still there: it has that back. Danger: to wake up for each
		// request and to overflow again soon after costs more than all the rest where 100,000 groups ask now and then.
		b.drawFromPool(g, parent, amount, now)
		return
	}
	b.markDrawn(g, now)
	own := min(amount, c.available(floor))
	c.Level -= own
	amount -= own
	for n := b.tree.links[g].parent; n >= 0 && amount > 0; n = b.tree.links[n].parent {
		if p := &b.accounts[n]; p.available(floor) > 0 && b.canDraw(b.childAbove(g, n), now) {
			drawn := min(amount, p.available(floor))
			b.drawFromPool(g, n, drawn, now)
			amount -= drawn
		}
	}
	c.Level -= amount
}

// childAbove returns the child of a pool that a group is, or is below.
func (b *accountTable) childAbove(g, pool int32) int32 {
	for b.tree.links[g].parent != pool {
		g = b.tree.links[g].parent
	}
	return g
}

// drawFromPool has a group draw on a pool above it: each group on the way draws on its parent. What is nobody's deposit is free.
func (b *accountTable) drawFromPool(g, pool int32, amount, now float64) {
	b.markDrawn(pool, now)
	p := &b.accounts[pool]
	p.Level -= amount
	free := min(amount, max(p.Equity, 0))
	p.Equity -= free
	for n := g; n != pool; n = b.tree.links[n].parent {
		c := &b.accounts[n]
		if w := b.tree.links[n].weight; w > 0 {
			c.Drawn += amount / w
		}
		loan := amount - free
		back := min(loan, max(c.Balance, 0))
		c.Balance -= loan
		c.Tally.Free += free
		c.Tally.Returned += back
		c.Tally.Borrowed += loan - back
	}
}

// minCapacity is what every bucket and cap holds in time.
func (b *accountTable) minCapacity() float64 {
	if b.limit.Measure == Requests {
		return 1
	}
	return 0
}

// waitSeconds returns how long an amount takes at a rate. Nobody is told to wait for longer than a window, or a request's time
// where a window brings less than one.
func (b *accountTable) waitSeconds(amount, rate float64) float64 {
	longest := max(b.limit.WindowSeconds, b.minCapacity()/max(rate, 1e-9))
	return min(max(amount/max(rate, 1e-9)+1e-6, 1e-3), longest, 31*86400) // a clock's last digit is not waited for
}

// retryAfterSeconds returns when what a need lacks could be had: of the own bucket alone, or of the group's turn at the nearest pool
// that something comes to, whichever is sooner.
func (b *accountTable) retryAfterSeconds(g int32, need float64, floor bool) float64 {
	c := &b.accounts[g]
	rate := c.Inflow
	if c.Balance < 0 {
		rate *= 1 - b.repayFraction
	}
	reserve := c.Reserve
	if floor {
		reserve = 0
	}
	soonest := b.waitSeconds(need+reserve-c.Level, rate)
	for n := g; b.tree.links[n].parent >= 0; n = b.tree.links[n].parent {
		p, w := &b.accounts[b.tree.links[n].parent], b.tree.links[n].weight
		if p.Inflow > 0 && w > 0 && !floor {
			lacks := need - c.available(floor) - p.available(floor)
			return min(soonest, b.waitSeconds(max(lacks, 0), p.Inflow*w/max(p.Wanted, w)))
		}
	}
	return soonest
}

// recordDemand notes what a group asks for, and stretches its part of a fleet's quota by what it has asked for lately, within the
// bounds: where it asks for more than its part, it asks for less elsewhere, as a rule. Danger: without bounds the parts of
// all sidecars together would be any number of quotas. What nobody asks for here is not cut: it would be lent to nobody.
func (b *accountTable) recordDemand(g int32, amount, stretch, now float64) {
	c := &b.accounts[g]
	if e := int64(now / b.limit.WindowSeconds); c.DemandWindow != e {
		if c.DemandWindow >= 0 && c.OwnInflow > 0 {
			if c.DemandWindow < e-1 {
				c.DemandRate = 0
			}
			c.DemandRate += 0.5 * (c.Demand/b.limit.WindowSeconds - c.DemandRate)
			c.Stretch = min(max(c.DemandRate/c.OwnInflow-1, 0), stretch)
			b.setInflow(g, c.OwnInflow*(1+c.Stretch), now)
		}
		c.DemandWindow, c.Demand = e, 0
	}
	c.Demand += amount
}

// resetStretch has a group that has asked for nothing have its plain part.
func (b *accountTable) resetStretch(n int32) {
	if c := &b.accounts[n]; !b.tree.links[n].inner {
		c.Stretch, c.DemandRate = 0, 0
		c.Inflow = c.OwnInflow
	}
}

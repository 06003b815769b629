package quota

import "math"

// canDraw reports whether a child may draw from its parent's pool now, and records that it asks. The pool is settled.
//
// Children with a credit go first. Others take turns by their weights while the pool holds less than half of its capacity; beyond
// that, tokens would only be wasted if they were held back.
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
	case pool.Wanted <= g.weight: // no other child asks
		return true
	}
	// Danger: a turn that could be saved up or overdrawn without bound would lock out others, or the child itself, later.
	bound := pool.Capacity / pool.Wanted
	a.Drawn = min(max(a.Drawn, pool.Turn-bound), pool.Turn+bound)
	return a.Drawn <= pool.Turn
}

// shortfall returns how much of a need neither the group's bucket nor the pools above it can cover, 0 if they can. The accounts
// are settled.
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

// charge takes an amount for a group, from its own bucket and then from the pools above it, the nearest first. What is missing
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
		// The bucket is full and its deposit is still there: the amount comes from the deposit. Danger: to end the overflow for each
		// request, and to start it again soon after, costs more than all the rest where 100,000 groups ask now and then.
		t.drawFromPool(group, parent, amount, now)
		return
	}
	t.markDrawn(group, now)
	fromBucket := min(amount, a.available(floor))
	a.Level -= fromBucket
	amount -= fromBucket
	for n := t.tree.links[group].parent; n >= 0 && amount > 0; n = t.tree.links[n].parent {
		if pool := &t.accounts[n]; pool.available(floor) > 0 && t.canDraw(t.childAbove(group, n), now) {
			drawn := min(amount, pool.available(floor))
			t.drawFromPool(group, n, drawn, now)
			amount -= drawn
		}
	}
	a.Level -= amount
}

// childAbove returns the child of a pool that is the group or is above it.
func (t *accountTable) childAbove(group, pool int32) int32 {
	for t.tree.links[group].parent != pool {
		group = t.tree.links[group].parent
	}
	return group
}

// drawFromPool takes tokens from a pool above a group. Each group on the way draws from its parent. Tokens that are no child's
// deposit are free of debt.
func (t *accountTable) drawFromPool(group, from int32, amount, now float64) {
	t.markDrawn(from, now)
	pool := &t.accounts[from]
	pool.Level -= amount
	free := min(amount, max(pool.Equity, 0))
	pool.Equity -= free
	for n := group; n != from; n = t.tree.links[n].parent {
		a := &t.accounts[n]
		if weight := t.tree.links[n].weight; weight > 0 {
			a.Drawn += amount / weight
		}
		loan := amount - free
		returned := min(loan, max(a.Balance, 0))
		a.Balance -= loan
		a.Tally.Free += free
		a.Tally.Returned += returned
		a.Tally.Borrowed += loan - returned
	}
}

// cost returns what a request costs of a measure before it runs, and what must be available for it. Danger: a message larger than
// any account could never be admitted, so bytes and work may overdraw the account, and the debt counts.
func (t *accountTable) cost(q *Request) (cost, need float64) {
	switch t.limit.Measure {
	case Requests:
		return 1, 1
	case Bytes:
		a := &t.accounts[q.Group]
		return q.Bytes, min(max(q.Bytes, 1), max(a.Capacity-a.Reserve, 1))
	default:
		return 0, 1e-3
	}
}

package quota

import "math"

// canDraw reports whether a child may draw from its parent's pool now, and records that it asks. The pool must be settled.
//
// While the pool holds less than half of its capacity, children with a credit go first, and the others take turns by their
// weights. A fuller pool lends to all, since tokens that were held back would overflow.
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
	case pool.Wanted <= g.weight: // no other child has asked
		return true
	}
	// Danger: if turns could be saved up or overdrawn without bound, others, or the child itself, would be locked out later.
	bound := pool.Capacity / pool.Wanted
	a.Drawn = min(max(a.Drawn, pool.Turn-bound), pool.Turn+bound)
	return a.Drawn <= pool.Turn
}

// shortfall returns how much of a need the group's bucket and the pools above it can't cover, 0 if they cover it. The accounts
// must be settled.
func (t *accountTable) shortfall(group int32, need float64, mayUseFloor bool, now float64) float64 {
	need -= t.accounts[group].available(mayUseFloor)
	for n := group; need > 0; {
		parent := t.tree.links[n].parent
		if parent < 0 {
			return need
		}
		if t.canDraw(n, now) {
			need -= t.accounts[parent].available(mayUseFloor)
		}
		n = parent
	}
	return 0
}

// charge takes an amount for a group from its own bucket and then from the pools above it, the nearest first. If these don't
// suffice, the level of the bucket becomes negative.
func (t *accountTable) charge(group int32, amount float64, mayUseFloor bool, now float64) {
	for n := group; n >= 0; n = t.tree.links[n].parent {
		a := &t.accounts[n]
		a.Tally.Used += amount
		if a.CapRate < math.Inf(1) {
			a.CapLevel -= amount
		}
	}
	a := &t.accounts[group]
	if parent := t.tree.links[group].parent; a.IsOverflowing && a.Balance >= amount && t.accounts[parent].available(mayUseFloor) >= amount {
		// The bucket is full and its deposit is still in the pool: the amount comes from the deposit. Danger: ending the overflow
		// for each request, and restarting it soon after, would be the largest cost if 100,000 groups have occasional requests.
		t.drawFromPool(group, parent, amount, now)
		return
	}
	t.markDrawn(group, now)
	fromBucket := min(amount, a.available(mayUseFloor))
	a.Level -= fromBucket
	amount -= fromBucket
	for n := t.tree.links[group].parent; n >= 0 && amount > 0; n = t.tree.links[n].parent {
		if pool := &t.accounts[n]; pool.available(mayUseFloor) > 0 && t.canDraw(t.childAbove(group, n), now) {
			drawn := min(amount, pool.available(mayUseFloor))
			t.drawFromPool(group, n, drawn, now)
			amount -= drawn
		}
	}
	a.Level -= amount
}

// childAbove returns the child of a pool that is the group itself or an ancestor of it.
func (t *accountTable) childAbove(group, pool int32) int32 {
	for t.tree.links[group].parent != pool {
		group = t.tree.links[group].parent
	}
	return group
}

// drawFromPool takes tokens from a pool above a group. Each group between them draws from its parent. Tokens that are not a
// child's deposit cause no debt.
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

// cost returns how much a request is charged before it runs, and how much must be available for it. Danger: a message larger than
// the account could never be admitted, so bytes and work may overdraw the account, which then must refill first.
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

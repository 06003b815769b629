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

// cost returns what a request costs of a measure before it is taken up, and what must be there for it. Danger: a message
// that is larger than all that an account can hold would never be taken up; so what comes in bytes or work may be
// overdrawn, and the debt counts.
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

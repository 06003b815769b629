package quota

import "math"

// settle brings an account up to a time. Its ancestors are settled.
func (t *accountTable) settle(n int32, now float64) {
	a := &t.accounts[n]
	dt := now - a.SettledAt
	if dt <= 0 {
		return
	}
	a.SettledAt = now
	parent := t.tree.links[n].parent
	if parent < 0 {
		t.settleRoot(a, dt)
		return
	}
	pool, inner := &t.accounts[parent], t.tree.links[n].inner
	kept := fastExp(-dt / t.fadeSeconds)
	t.fadeBalance(a, pool, a.Balance*(1-kept), inner)
	if a.IsOverflowing {
		took, recent := pool.Offered-a.OfferedSeen, pool.Recent-a.RecentSeen*kept
		a.OfferedSeen, a.RecentSeen = pool.Offered, pool.Recent
		if inner {
			a.Offered += took
			a.Recent = a.Recent*kept + recent
			a.Equity += a.OwnInflow * took
		}
		t.recordDeposit(a, a.Inflow*took)
		// Danger: a claim that only begins to fade when somebody looks outlives the debt that it is of.
		t.fadeBalance(a, pool, min(a.Inflow*(took-recent), max(a.Balance, 0)), inner)
		return
	}
	if inner {
		a.Recent *= kept
	}
	in := a.Inflow * dt
	if in <= 0 {
		return
	}
	if !inner && a.Balance >= 0 && a.Level+in <= a.Capacity {
		a.Level += in
		return
	}
	paid := 0.0
	if a.Balance < 0 {
		paid = t.deposit(parent, min(in*t.repayFraction, -a.Balance), true)
		t.recordDeposit(a, paid)
	}
	a.addInflow(in - paid)
	lost := 0.0
	if over := a.Level - a.Capacity; over > 0 {
		a.Level = a.Capacity
		took := t.deposit(parent, over, false)
		t.recordDeposit(a, took)
		lost = over - took
	}
	if inner {
		a.addOffered(dt * (1 - lost/in))
	}
}

func (t *accountTable) settleRoot(a *account, dt float64) {
	a.Recent *= fastExp(-dt / t.fadeSeconds)
	in := a.Inflow * dt
	if in <= 0 {
		return
	}
	lost := max(0, a.Level+in-a.Capacity)
	a.addInflow(in - lost)
	t.overflow += lost
	a.addOffered(dt * (1 - lost/in))
}

// fastExp is math.Exp; of a number that is hardly below 0 it takes less time.
func fastExp(x float64) float64 {
	if x > -1e-3 {
		return 1 + x*(1+x*(0.5+x*(1.0/6+x/24)))
	}
	return math.Exp(x)
}

// recordDeposit notes that a parent holds more of a group.
func (t *accountTable) recordDeposit(a *account, amount float64) {
	back := min(amount, max(-a.Balance, 0))
	a.Tally.Repaid += back
	a.Tally.Lent += amount - back
	a.Balance += amount
}

// fadeBalance takes a part off a balance: what was lent long ago is neither owed nor claimed any more.
func (t *accountTable) fadeBalance(a, pool *account, amount float64, isPool bool) {
	if amount == 0 {
		return
	}
	if math.Abs(a.Balance) < 1e-6 {
		amount = a.Balance
	}
	if a.Balance -= amount; amount < 0 {
		a.Tally.Forgiven -= amount
	} else {
		a.Tally.Expired += amount
	}
	if pool.Equity += amount; isPool {
		a.Equity -= amount
	}
}

// deposit puts an amount into a pool and what does not fit into those above it; it returns how much has found room. A
// repayment goes first to whom the pool's own group owes.
func (t *accountTable) deposit(n int32, amount float64, repays bool) (took float64) {
	a, parent := &t.accounts[n], t.tree.links[n].parent
	if repays && a.Balance < 0 && parent >= 0 {
		took = t.deposit(parent, min(amount, -a.Balance), true)
		t.recordDeposit(a, took)
		amount -= took
	}
	in := min(amount, max(a.Capacity-a.Level, 0))
	a.addInflow(in)
	if took, amount = took+in, amount-in; amount <= 0 {
		return took
	}
	if parent < 0 {
		t.overflow += amount
		return took
	}
	up := t.deposit(parent, amount, false)
	t.recordDeposit(a, up)
	return took + up
}

// settleChain settles an account and all above it.
func (t *accountTable) settleChain(n int32, now float64) {
	if parent := t.tree.links[n].parent; parent >= 0 {
		t.settleChain(parent, now)
	}
	t.settle(n, now)
}

// settleAll settles all accounts.
func (t *accountTable) settleAll(now float64) {
	for n := range t.accounts { // parents before their children
		t.settle(int32(n), now)
	}
}

package quota

import "math"

// settle updates an account to the time now. All accounts above it must be settled.
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
	keptFraction := fastExp(-dt / t.fadeSeconds)
	t.fadeBalance(a, pool, a.Balance*(1-keptFraction), inner)
	if a.IsOverflowing {
		taken, recent := pool.Offered-a.OfferedSeen, pool.Recent-a.RecentSeen*keptFraction
		a.OfferedSeen, a.RecentSeen = pool.Offered, pool.Recent
		if inner {
			a.Offered += taken
			a.Recent = a.Recent*keptFraction + recent
			a.Equity += a.OwnInflow * taken
		}
		t.recordDeposit(a, a.Inflow*taken)
		// Danger: a credit that starts to fade only when the account is settled would outlive the debt that corresponds to it.
		t.fadeBalance(a, pool, min(a.Inflow*(taken-recent), max(a.Balance, 0)), inner)
		return
	}
	if inner {
		a.Recent *= keptFraction
	}
	inflow := a.Inflow * dt
	if inflow <= 0 {
		return
	}
	if !inner && a.Balance >= 0 && a.Level+inflow <= a.Capacity {
		a.Level += inflow
		return
	}
	paid := 0.0
	if a.Balance < 0 {
		paid = t.deposit(parent, min(inflow*t.repayFraction, -a.Balance), true)
		t.recordDeposit(a, paid)
	}
	a.addInflow(inflow - paid)
	lost := 0.0
	if excess := a.Level - a.Capacity; excess > 0 {
		a.Level = a.Capacity
		taken := t.deposit(parent, excess, false)
		t.recordDeposit(a, taken)
		lost = excess - taken
	}
	if inner {
		a.addOffered(dt * (1 - lost/inflow))
	}
}

// settleRoot is settle for the root, whose overflow is lost.
func (t *accountTable) settleRoot(a *account, dt float64) {
	a.Recent *= fastExp(-dt / t.fadeSeconds)
	inflow := a.Inflow * dt
	if inflow <= 0 {
		return
	}
	lost := max(0, a.Level+inflow-a.Capacity)
	a.addInflow(inflow - lost)
	t.overflow += lost
	a.addOffered(dt * (1 - lost/inflow))
}

// fastExp returns math.Exp(x), which it approximates by a polynomial just below 0. x must not be positive.
func fastExp(x float64) float64 {
	if x > -1e-3 {
		return 1 + x*(1+x*(0.5+x*(1.0/6+x/24)))
	}
	return math.Exp(x)
}

// recordDeposit records that a group has deposited tokens with its parent.
func (t *accountTable) recordDeposit(a *account, amount float64) {
	repaid := min(amount, max(-a.Balance, 0))
	a.Tally.Repaid += repaid
	a.Tally.Lent += amount - repaid
	a.Balance += amount
}

// fadeBalance reduces a balance by an amount that has faded: a debt is forgiven, a credit expires.
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

// deposit adds an amount to a pool, and what does not fit to the pools above it, and returns how much found room. If repays is set,
// the amount is first used to repay the pool's own debt.
func (t *accountTable) deposit(n int32, amount float64, repays bool) (taken float64) {
	a, parent := &t.accounts[n], t.tree.links[n].parent
	if repays && a.Balance < 0 && parent >= 0 {
		taken = t.deposit(parent, min(amount, -a.Balance), true)
		t.recordDeposit(a, taken)
		amount -= taken
	}
	added := min(amount, max(a.Capacity-a.Level, 0))
	a.addInflow(added)
	if taken, amount = taken+added, amount-added; amount <= 0 {
		return taken
	}
	if parent < 0 {
		t.overflow += amount
		return taken
	}
	takenAbove := t.deposit(parent, amount, false)
	t.recordDeposit(a, takenAbove)
	return taken + takenAbove
}

// settleChain settles an account and all accounts above it.
func (t *accountTable) settleChain(n int32, now float64) {
	if parent := t.tree.links[n].parent; parent >= 0 {
		t.settleChain(parent, now)
	}
	t.settle(n, now)
}

// settleAll settles all accounts.
func (t *accountTable) settleAll(now float64) {
	for n := range t.accounts { // parents before children
		t.settle(int32(n), now)
	}
}

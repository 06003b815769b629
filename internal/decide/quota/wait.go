package quota

import "math"

// minCapacity returns the minimum capacity of buckets and caps.
func (t *accountTable) minCapacity() float64 {
	if t.limit.Measure == Requests {
		return 1
	}
	return 0
}

// waitSeconds returns how long an amount takes to accrue at a rate. The result is at most a window, or the time for one request if
// a window yields less than one.
func (t *accountTable) waitSeconds(amount, rate float64) float64 {
	longest := max(t.limit.WindowSeconds, t.minCapacity()/max(rate, 1e-9))
	return min(max(amount/max(rate, 1e-9)+1e-6, 1e-3), longest, 31*86400) // the minimum is above the resolution of clocks
}

// retryAfterSeconds estimates the time until a need can be covered by the group's own bucket or by its turn at the nearest pool with
// inflow, whichever is sooner.
func (t *accountTable) retryAfterSeconds(group int32, need float64, mayUseFloor bool) float64 {
	a := &t.accounts[group]
	rate := a.Inflow
	if a.Balance < 0 {
		rate *= 1 - t.repayFraction
	}
	reserve := a.Reserve
	if mayUseFloor {
		reserve = 0
	}
	earliest := t.waitSeconds(need+reserve-a.Level, rate)
	for n := group; t.tree.links[n].parent >= 0; n = t.tree.links[n].parent {
		pool, weight := &t.accounts[t.tree.links[n].parent], t.tree.links[n].weight
		if pool.Inflow > 0 && weight > 0 && !mayUseFloor {
			missing := need - a.available(mayUseFloor) - pool.available(mayUseFloor)
			return min(earliest, t.waitSeconds(max(missing, 0), pool.Inflow*weight/max(pool.Wanted, weight)))
		}
	}
	return earliest
}

// capWaitSeconds returns for how long the cap of a group, or of one above it, rejects a need, 0 if it does not.
func (t *accountTable) capWaitSeconds(group int32, need, now float64) (seconds float64) {
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
			seconds = max(seconds, t.waitSeconds(missing, a.CapRate))
		}
	}
	return seconds
}

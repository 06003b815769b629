package quota

import "math"

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

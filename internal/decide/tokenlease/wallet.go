package tokenlease

import (
	"math"
	"slices"
)

const (
	// reserveSeconds sets the target of a lessee's reserve: the tenant's mean demand in this time. The lessee asks for more if it holds less than
	// refillBelow times the target, and returns tokens down to the target if it holds more than returnAbove times the target.
	reserveSeconds = 1.5
	refillBelow    = 0.5
	returnAbove    = 2.0
	// demandSeconds is the time constant of the mean demand.
	demandSeconds = 1.5
	// minDemand is the demand, in tokens per second, below which a tenant counts as idle.
	minDemand = 1.0
)

// wallet holds a lessee's leases of one tenant's tokens and the requests that wait for more.
type wallet struct {
	tenant  string
	leases  []*lease
	waiters []waiter        // in the order of their arrival
	refused [Shares]refusal // by share
	asked   [Shares]int64   // by share: tokens for waiters that the call in flight asks for

	refusedAt float64 // when a request was last refused; 0 if never

	demand   float64 // mean demand at demandAt, in tokens per second
	demandAt float64 // time of the last request
}

// lease is the lessee's side of a lease. The amounts are sums since the lease began.
type lease struct {
	share      int
	id         uint64
	token      uint64 // fencing token of the lessor; 0 if it hasn't replied yet
	begunAt    float64
	validUntil float64 // 0 if the lessor hasn't replied yet
	// isRecovering says that the lessor was recovering when it replied last; see Grant.
	isRecovering bool

	granted  int64
	spent    int64
	returned int64
	reserved int64 // paid for requests whose payment is neither committed nor refunded

	reportedSpent, reportedReturned int64   // what the lessor has acknowledged
	unreportedSince                 float64 // since when there are unreported tokens
}

// refusal records that a lessor has not granted all the needed tokens.
type refusal struct {
	at           float64 // 0 if it has granted all
	until        float64 // when to ask again
	isRecovering bool    // the lessor didn't know whether the tenant is at its limit
}

// waiter is a request that waits for tokens.
type waiter struct {
	ticket   Ticket
	cost     int64
	deadline float64
}

// balance returns the tokens of the lease that can be spent.
func (l *lease) balance() int64 { return l.granted - l.spent - l.returned - l.reserved }

// hasEnded reports whether the lease has ended and its tokens must not be spent. Danger: the lessor's count of outstanding tokens and the takeover
// of its role rely on this. now must be the current time, not that of the last event.
func (l *lease) hasEnded(now float64) bool {
	if l.validUntil == 0 {
		return now-l.begunAt >= LeaseSeconds
	}
	return now >= l.validUntil
}

// hasUnreported reports whether spent or returned tokens are not yet known to the lessor.
func (l *lease) hasUnreported() bool {
	return l.spent > l.reportedSpent || l.returned > l.reportedReturned
}

// noteUnreported records since when there are unreported tokens. It must be called before the amounts change.
func (l *lease) noteUnreported(now float64) {
	if !l.hasUnreported() {
		l.unreportedSince = now
	}
}

// giveBack returns tokens to the lessor, with the next report.
func (l *lease) giveBack(now float64, tokens int64) {
	if tokens > 0 {
		l.noteUnreported(now)
		l.returned += tokens
	}
}

// dropEnded removes the leases that have ended.
func (w *wallet) dropEnded(now float64) {
	w.leases = slices.DeleteFunc(w.leases, func(l *lease) bool { return l.hasEnded(now) })
}

// balance returns the tokens of all leases that can be spent.
func (w *wallet) balance() (sum int64) {
	for _, l := range w.leases {
		sum += l.balance()
	}
	return sum
}

// find returns the lease with an ID, or nil if it has ended.
func (w *wallet) find(id uint64) *lease {
	for _, l := range w.leases {
		if l.id == id {
			return l
		}
	}
	return nil
}

// current returns the lease of a share from the lessor with the given fencing token, or nil if there is none.
func (w *wallet) current(share int, token uint64) *lease {
	for _, l := range w.leases {
		if l.share == share && (l.token == token || l.token == 0) {
			return l
		}
	}
	return nil
}

// pay reserves cost tokens, which the balance must cover. The leases that end first are used first.
func (w *wallet) pay(cost int64) (parts []part) {
	slices.SortStableFunc(w.leases, func(a, b *lease) int { return compareEnds(a, b) })
	for _, l := range w.leases {
		tokens := min(cost, l.balance())
		if tokens <= 0 {
			continue
		}
		l.reserved += tokens
		cost -= tokens
		parts = append(parts, part{l.id, tokens})
	}
	return parts
}

// compareEnds orders leases by their ends. Those without an end come first and hold no tokens.
func compareEnds(a, b *lease) int {
	switch {
	case a.validUntil < b.validUntil:
		return -1
	case a.validUntil > b.validUntil:
		return 1
	default:
		return 0
	}
}

// recordDemand adds a request to the mean demand.
func (w *wallet) recordDemand(now float64, cost int64) {
	w.demand = w.demandNow(now) + float64(cost)/demandSeconds
	w.demandAt = now
}

// demandNow returns the mean demand, in tokens per second.
func (w *wallet) demandNow(now float64) float64 {
	return w.demand * math.Exp((w.demandAt-now)/demandSeconds)
}

// reserveTarget returns how many tokens to hold for future requests.
func (w *wallet) reserveTarget(now float64) int64 {
	demand := w.demandNow(now)
	if demand < minDemand {
		return 0
	}
	return int64(reserveSeconds * demand)
}

// waiting returns the tokens that waiters need in addition to the balance.
func (w *wallet) waiting() int64 {
	sum := -w.balance()
	for _, waiting := range w.waiters {
		sum += waiting.cost
	}
	return max(sum, 0)
}

// askedInTime returns the tokens for waiters that calls in flight have asked for, of calls sent after a time.
func (w *wallet) askedInTime(shares *[Shares]shareState, since float64) (sum int64) {
	for i := range shares {
		if shares[i].isCalling && shares[i].calledAt > since {
			sum += w.asked[i]
		}
	}
	return sum
}

// returnRecoveryGrants returns at once the tokens from recovering lessors that no request needs. Danger: if a share's lessor is replaced repeatedly,
// none counts what its predecessors have granted, so tokens that lessees kept could add up to more than the capacity.
//
// It reports whether there were any.
func (w *wallet) returnRecoveryGrants(now float64) (hasReturned bool) {
	for _, l := range w.leases {
		if tokens := l.balance(); l.isRecovering && tokens > 0 {
			l.giveBack(now, tokens)
			l.unreportedSince = now - reportSeconds
			hasReturned = true
		}
	}
	return hasReturned
}

// returnSurplus returns tokens far above the target of the reserve, first those of shares other than the home share. It also returns the tokens of
// such shares whose leases would have to be renewed. It is called for wallets without waiters.
func (w *wallet) returnSurplus(now float64, home int) {
	for _, l := range w.leases {
		if l.share != home && l.renewAt() <= now+reportSeconds {
			l.giveBack(now, l.balance())
		}
	}
	target, balance := w.reserveTarget(now), w.balance()
	if float64(balance) <= returnAbove*float64(target) {
		return
	}
	surplus := balance - target
	for _, ofHome := range []bool{false, true} {
		for _, l := range w.leases {
			if (l.share == home) == ofHome {
				tokens := min(surplus, l.balance())
				l.giveBack(now, tokens)
				surplus -= max(tokens, 0)
			}
		}
	}
}

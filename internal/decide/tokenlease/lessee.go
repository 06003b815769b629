package tokenlease

import (
	"math"
	"slices"
)

const (
	// reportSeconds is how long spent or returned tokens may stay unreported. Until they are reported, the lessor counts them as outstanding.
	reportSeconds = 0.3
	// hedgeSeconds is how long waiters wait for the reply of one lessor before another one is asked, too.
	hedgeSeconds = 0.03
	// unavailableSeconds is how long a lessor that has not replied is not asked.
	unavailableSeconds = 0.25
	// renewFraction is the fraction of its duration after which a lease that holds tokens is renewed.
	renewFraction = 0.5
	// renewAheadSeconds is how much earlier a lease is renewed if a call to its lessor is made anyway.
	renewAheadSeconds = 0.5
	// maintainSeconds is the delay between a change and the call of maintain that follows it.
	maintainSeconds = 0.1
)

// Ticket identifies a request that waits for its decision.
type Ticket uint64

// Refusal is the reason why a request is not admitted.
type Refusal int

// The refusals.
const (
	Admitted     Refusal = iota // it is not refused
	OverLimit                   // its tenant is at its limit, as most lessors have replied
	NotAvailable                // too few lessors have replied or know yet whether the tenant is at its limit
)

// Decision is the decision about a request.
type Decision struct {
	Ticket       Ticket
	Refusal      Refusal
	Payment      Payment // of an admitted request; the host must pass it to Commit or Refund
	RetrySeconds float64 // of a refused request: the time until there may be tokens again
}

// Payment is the tokens that a request was paid with.
type Payment struct {
	tenant string
	parts  []part
}

// part is the tokens of one lease in a payment.
type part struct {
	leaseID uint64
	tokens  int64
}

// Lessee pays for requests with tokens that it has leased. Its host calls Step after each call of another method, sends the requests that Step
// returns, and calls HandleReply or HandleNoReply for each.
type Lessee struct {
	name        string
	home        int
	wallets     []*wallet          // one for each tenant with leases, waiters or recent demand
	byTenant    map[string]*wallet // wallets by tenant
	waiting     []*wallet          // the wallets with waiters
	shares      [Shares]shareState
	lastLeaseID uint64
	lastTicket  Ticket
	decided     []Decision // since the last Step
	// unavailableAt is when a request was last refused as NotAvailable; 0 if never.
	unavailableAt float64
	maintainAt    float64 // when maintain is due; +Inf if it is not
}

// shareState is what a lessee knows of the lessor of a share.
type shareState struct {
	token            uint64 // highest fencing token of a reply
	isDue            bool   // there is something to report or renew
	isCalling        bool   // a request is in flight
	calledAt         float64
	unavailableUntil float64
}

// Call is a request to send. At most one per share is in flight.
type Call struct {
	Request Request
	sentAt  float64
}

// Output is what a host has to do after Step.
type Output struct {
	Calls     []Call
	Decisions []Decision
	WaitUntil float64 // when to call Step next if nothing else happens before; 0 if that is not needed
}

// NewLessee returns a lessee without leases. name must be unique for each run of a process.
func NewLessee(name string) *Lessee {
	return &Lessee{name: name, byTenant: map[string]*wallet{}, maintainAt: math.Inf(1)}
}

// SetHome sets the share that is asked first. The hosts should distribute their lessees evenly over the shares.
func (l *Lessee) SetHome(share int) { l.home = share % Shares }

// Admit enqueues a request that needs cost tokens of its tenant and may wait until the deadline. Step returns the decision, usually the next
// one.
func (l *Lessee) Admit(now float64, tenant string, cost int64, deadline float64) Ticket {
	funds := l.byTenant[tenant]
	if funds == nil {
		funds = &wallet{tenant: tenant}
		l.byTenant[tenant] = funds
		l.wallets = append(l.wallets, funds)
	}
	if len(funds.waiters) == 0 {
		l.waiting = append(l.waiting, funds)
	}
	l.lastTicket++
	funds.recordDemand(now, cost)
	funds.waiters = append(funds.waiters, waiter{l.lastTicket, cost, deadline})
	return l.lastTicket
}

// ExpectsAdmission reports whether a waiting request of a tenant is likely to be admitted: recently, no request of the tenant was refused, and
// no request at all as NotAvailable.
func (l *Lessee) ExpectsAdmission(now float64, tenant string) bool {
	funds := l.byTenant[tenant]
	isRefused := funds != nil && funds.refusedAt > 0 && now-funds.refusedAt < competitorSeconds
	return !isRefused && (l.unavailableAt == 0 || now-l.unavailableAt >= competitorSeconds)
}

// Cancel removes a waiting request without a decision. It returns false if the decision was already made.
func (l *Lessee) Cancel(tenant string, ticket Ticket) bool {
	funds := l.byTenant[tenant]
	if funds == nil {
		return false
	}
	waiting := len(funds.waiters)
	funds.waiters = slices.DeleteFunc(funds.waiters, func(w waiter) bool { return w.ticket == ticket })
	return len(funds.waiters) < waiting
}

// Commit counts the tokens of a payment as spent, because its request may reach a server.
func (l *Lessee) Commit(now float64, payment Payment) {
	l.noteChange(now)
	l.forEachPart(payment, func(paid *lease, tokens int64) {
		paid.noteUnreported(now)
		paid.reserved -= tokens
		paid.spent += tokens
	})
}

// Refund makes the tokens of a payment available again, unless their leases have ended, because its request reaches no server.
func (l *Lessee) Refund(payment Payment) {
	l.maintainAt = math.Inf(-1) // at the next Step
	l.forEachPart(payment, func(paid *lease, tokens int64) { paid.reserved -= tokens })
}

// forEachPart calls f for the parts of a payment whose leases have not ended.
func (l *Lessee) forEachPart(payment Payment, f func(paid *lease, tokens int64)) {
	funds := l.byTenant[payment.tenant]
	if funds == nil {
		return
	}
	for _, p := range payment.parts {
		if paid := funds.find(p.leaseID); paid != nil {
			f(paid, p.tokens)
		}
	}
}

// ReturnAll returns all unspent tokens with the calls of the next Step. It is for a process that shuts down.
func (l *Lessee) ReturnAll(now float64) {
	for _, funds := range l.wallets {
		for _, entry := range funds.leases {
			entry.giveBack(now, entry.balance())
			entry.unreportedSince = now - reportSeconds
		}
	}
	l.maintainAt = now
}

// noteChange schedules a call of maintain.
func (l *Lessee) noteChange(now float64) { l.maintainAt = min(l.maintainAt, now+maintainSeconds) }

// Step makes all decisions that can be made now, and returns them and the requests to send.
func (l *Lessee) Step(now float64) Output {
	if now >= l.maintainAt {
		l.maintain(now)
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(funds *wallet) bool {
		funds.dropEnded(now)
		l.decide(now, funds)
		if len(funds.waiters) == 0 && funds.returnRecoveryGrants(now) {
			l.maintainAt = now
		}
		return len(funds.waiters) == 0
	})
	if now >= l.maintainAt {
		l.maintain(now)
	}
	out := Output{Decisions: l.decided}
	l.decided = nil
	for share := range l.shares {
		if call, isNeeded := l.buildCall(now, share); isNeeded {
			out.Calls = append(out.Calls, call)
		}
	}
	if out.WaitUntil = min(l.maintainAt, l.nextDecision(now)); math.IsInf(out.WaitUntil, 1) {
		out.WaitUntil = 0
	}
	return out
}

// maintain drops ended leases and idle wallets, returns tokens that are not needed, and marks the shares with something to report or renew.
func (l *Lessee) maintain(now float64) {
	l.maintainAt = math.Inf(1)
	l.wallets = slices.DeleteFunc(l.wallets, func(funds *wallet) bool {
		funds.dropEnded(now)
		if len(funds.waiters) == 0 {
			funds.returnRecoveryGrants(now)
			funds.returnSurplus(now, l.home)
		}
		for _, entry := range funds.leases {
			state := &l.shares[entry.share]
			switch due := entry.dueAt(); {
			case entry.token != state.token: // its lessor was replaced
			case due <= now:
				state.isDue = true
			default:
				l.maintainAt = min(l.maintainAt, due)
			}
		}
		isIdle := len(funds.leases) == 0 && len(funds.waiters) == 0 && funds.demandNow(now) < minDemand
		if isIdle {
			delete(l.byTenant, funds.tenant)
		}
		return isIdle
	})
}

// decide admits the waiters of a tenant in their order while there are tokens, and refuses those whose deadline has passed or for whom there is
// no lessor left to ask.
func (l *Lessee) decide(now float64, funds *wallet) {
	for len(funds.waiters) > 0 {
		first := funds.waiters[0]
		decision := Decision{Ticket: first.ticket}
		switch {
		case funds.balance() >= first.cost:
			decision.Payment = Payment{funds.tenant, funds.pay(first.cost)}
		case now >= first.deadline || l.nextShare(now, funds) < 0 && !l.isAwaiting(funds):
			decision.Refusal, decision.RetrySeconds = l.explainRefusal(now, funds)
			funds.refusedAt = now
			if decision.Refusal == NotAvailable {
				l.unavailableAt = now
			}
		default:
			return
		}
		funds.waiters = funds.waiters[1:]
		l.decided = append(l.decided, decision)
	}
}

// isAwaiting reports whether a call in flight asks for tokens for a tenant's waiters.
func (l *Lessee) isAwaiting(funds *wallet) bool {
	for share := range l.shares {
		if l.shares[share].isCalling && funds.asked[share] > 0 {
			return true
		}
	}
	return false
}

// explainRefusal returns why a tenant's request is refused, and the time until there may be tokens again. The tenant counts as at its limit if
// most lessors have recently said so: the others may be unavailable, or may not have been asked yet.
func (l *Lessee) explainRefusal(now float64, funds *wallet) (reason Refusal, retrySeconds float64) {
	atLimit, retrySeconds := 0, maxRetrySeconds
	for _, refused := range funds.refused {
		if refused.until > now {
			retrySeconds = min(retrySeconds, refused.until-now)
		}
		if refused.at > 0 && now-refused.at < competitorSeconds && !refused.isRecovering {
			atLimit++
		}
	}
	if atLimit > Shares/2 {
		reason = OverLimit
	} else {
		reason = NotAvailable
	}
	return reason, max(retrySeconds, minRetrySeconds)
}

// nextShare returns the share to ask next for a tenant's tokens: the home share, or the first one after it that has not refused and whose lessor
// replies. It returns -1 if there is none. A share with a call in flight may be returned while the call is not slow, since its lessor can be
// asked again soon.
func (l *Lessee) nextShare(now float64, funds *wallet) int {
	for i := range Shares {
		share := (l.home + i) % Shares
		state := &l.shares[share]
		isSlow := state.isCalling && now-state.calledAt >= hedgeSeconds
		if funds.refused[share].until <= now && state.unavailableUntil <= now && !isSlow {
			return share
		}
	}
	return -1
}

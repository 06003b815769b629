package tokenlease

import (
	"errors"
	"maps"
)

// sweepSeconds is the interval at which accounts are removed that are not needed.
const sweepSeconds = 5.0

// Lessor grants the tokens of one share of all tenants' limits. It keeps accounts of tenants with recent requests.
type Lessor struct {
	token     uint64 // fencing token under which the share was acquired
	allowance Allowance
	startedAt float64
	idleSince float64 // see NewLessor
	sweptAt   float64
	accounts  map[string]*account // by tenant
}

// NewLessor returns the lessor of a share with the fencing token under which it was acquired. What an earlier lessor of the share has granted is
// not known. Buckets start with the tokens that have accrued since idleSince; no lessor can have granted any of the share's tokens since then.
func NewLessor(token uint64, allowance Allowance, now, idleSince float64) *Lessor {
	return &Lessor{token: token, allowance: allowance, startedAt: now, idleSince: idleSince, sweptAt: now, accounts: map[string]*account{}}
}

// ErrReplaced is the error for a request of a lessee that knows a newer lessor of the share.
var ErrReplaced = errors.New("the share has another lessor")

// Handle handles a request, and grants what is needed and available. limitOf returns the limit of a tenant in the current configuration; reports
// about tenants without a limit get no grant.
func (l *Lessor) Handle(now float64, request *Request, limitOf func(tenant string) Limit) (*Reply, error) {
	if request.Token > l.token {
		return nil, ErrReplaced
	}
	reply := &Reply{Token: l.token}
	if request.Token != 0 && request.Token != l.token {
		return reply, nil
	}
	l.sweep(now)
	for _, report := range request.Reports {
		if limit := limitOf(report.Tenant); !limit.IsUnlimited() {
			reply.Grants = append(reply.Grants, l.handleReport(now, request.Lessee, report, limit))
		}
	}
	return reply, nil
}

// handleReport handles a lessee's report about its lease of a tenant's tokens.
func (l *Lessor) handleReport(now float64, lessee string, report Report, limit Limit) Grant {
	entry := l.refilled(now, report.Tenant, limit)
	grant := Grant{Tenant: report.Tenant, LeaseID: report.LeaseID, IsRecovering: l.isRecovering(now)}
	borrowed := entry.findLoan(lessee, report)
	if borrowed == nil {
		grant.IsUnknown = true
		return grant
	}
	entry.applyReport(borrowed, report)
	borrowed.renewedAt = now
	if granted := entry.grantNeeded(borrowed, report.Need); granted < report.Need {
		grant.RetrySeconds = entry.refuse(now, borrowed, report.Need-granted)
	} else if !grant.IsRecovering {
		entry.grantReserve(borrowed, report.Reserve)
	}
	grant.Granted = borrowed.granted
	return grant
}

// refilled returns the refilled account of a tenant. The bucket of a new account has been filling since idleSince.
func (l *Lessor) refilled(now float64, tenant string, limit Limit) *account {
	entry := l.accounts[tenant]
	if entry == nil {
		entry = &account{loans: map[string]*loan{}, refilledAt: l.idleSince}
		l.accounts[tenant] = entry
	}
	entry.setLimit(limit.share(), l.allowance.Capacity(limit)/Shares)
	entry.refill(now, l.isRecovering(now))
	return entry
}

// isRecovering reports whether leases of the previous lessor may not have ended yet.
func (l *Lessor) isRecovering(now float64) bool { return now-l.startedAt < countedLeaseSeconds }

// sweep removes the accounts that equal new ones: full and without loans.
func (l *Lessor) sweep(now float64) {
	if now-l.sweptAt < sweepSeconds {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.accounts, func(_ string, entry *account) bool {
		entry.refill(now, l.isRecovering(now))
		return len(entry.loans) == 0 && entry.available >= entry.capacity
	})
}

// Usage is what a lessor has granted and refused of one tenant's share, since the last call of TakeUsage.
type Usage struct {
	Tenant  string
	Limit   Limit // of the share
	Granted int64 // tokens
	Refused int64 // tokens that waiting requests did not get; those of one request may be counted once for each share
}

// TakeUsage returns the usage of the tenants that were refused tokens, and resets the sums of all tenants.
func (l *Lessor) TakeUsage() (refused []Usage) {
	for tenant, entry := range l.accounts {
		if entry.refusedSum > 0 {
			refused = append(refused, Usage{tenant, entry.limit, entry.grantedSum, entry.refusedSum})
		}
		entry.grantedSum, entry.refusedSum = 0, 0
	}
	return refused
}

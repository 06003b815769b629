package tokenlease

import (
	"math"
	"slices"
)

// buildCall returns the next request to a share's lessor, if one is needed: waiters need tokens, or something has to be reported or renewed.
// The request then contains everything else that can be reported.
func (l *Lessee) buildCall(now float64, share int) (call Call, isNeeded bool) {
	state := &l.shares[share]
	if state.isCalling || state.unavailableUntil > now {
		return Call{}, false
	}
	if !state.isDue && !slices.ContainsFunc(l.waiting, func(funds *wallet) bool { return l.needFrom(now, funds, share) > 0 }) {
		return Call{}, false
	}
	request := Request{Lessee: l.name, Share: share, Token: state.token}
	for _, funds := range l.wallets {
		if report, isNeeded := l.buildReport(now, funds, share); isNeeded {
			request.Reports = append(request.Reports, report)
		}
	}
	state.isDue = false
	if len(request.Reports) == 0 {
		return Call{}, false
	}
	state.isCalling, state.calledAt = true, now
	return Call{request, now}, true
}

// buildReport returns the report of a tenant's lease of a share, if there is something to report, renew or ask for.
func (l *Lessee) buildReport(now float64, funds *wallet, share int) (report Report, isNeeded bool) {
	state := &l.shares[share]
	need := l.needFrom(now, funds, share)
	reserve := l.reserveFrom(now, funds, share, need)
	entry := funds.current(share, state.token)
	if need == 0 && reserve == 0 && (entry == nil || !entry.hasUnreported() && entry.renewAt() > now+renewAheadSeconds) {
		return Report{}, false
	}
	funds.asked[share] = need
	if entry == nil {
		l.lastLeaseID++
		entry = &lease{share: share, id: l.lastLeaseID, token: state.token, begunAt: now}
		funds.leases = append(funds.leases, entry)
	}
	return Report{Tenant: funds.tenant, LeaseID: entry.id, Spent: entry.spent, Returned: entry.returned, Need: need, Reserve: reserve}, true
}

// dueAt returns when the lease has to be reported or renewed.
func (l *lease) dueAt() float64 {
	if l.hasUnreported() {
		return min(l.unreportedSince+reportSeconds, l.renewAt())
	}
	return l.renewAt()
}

// renewAt returns when the lease has to be renewed, +Inf if it holds no tokens.
func (l *lease) renewAt() float64 {
	if l.balance() <= 0 {
		return math.Inf(1)
	}
	return l.validUntil - (1-renewFraction)*LeaseSeconds
}

// needFrom returns the tokens that a tenant's waiters need from a share. These are 0 if another share is to be asked next, and don't include
// what calls have asked for within the last hedgeSeconds.
func (l *Lessee) needFrom(now float64, funds *wallet, share int) int64 {
	if len(funds.waiters) == 0 || l.nextShare(now, funds) != share {
		return 0
	}
	return max(funds.waiting()-funds.askedInTime(&l.shares, now-hedgeSeconds), 0)
}

// reserveFrom returns the tokens that are wanted from a share for future requests. Only the home share is asked for them, and a share that is
// asked for what waiters need in its place.
func (l *Lessee) reserveFrom(now float64, funds *wallet, share int, need int64) int64 {
	if share != l.home && need == 0 || funds.refused[share].until > now {
		return 0
	}
	target, balance := funds.reserveTarget(now), max(funds.balance(), 0)
	if float64(balance) >= refillBelow*float64(target) {
		return 0
	}
	return target - balance
}

// HandleReply handles the reply to a call.
func (l *Lessee) HandleReply(now float64, call Call, reply *Reply) {
	state := l.endCall(call)
	if reply.Token < state.token {
		return // the lessor was replaced
	}
	state.token = reply.Token
	if call.Request.Token != 0 && call.Request.Token != reply.Token {
		return // the leases are of the previous lessor; the next call begins new ones
	}
	// Danger: the lessor counts what it grants as outstanding for LeaseSeconds plus a margin after it received the request. If the reply took
	// longer, nothing of it may be spent.
	validUntil := call.sentAt + LeaseSeconds
	if now >= validUntil {
		return
	}
	reports := call.Request.Reports
	for _, grant := range reply.Grants {
		// Grants have the order of the reports, but tenants may be missing.
		i := slices.IndexFunc(reports, func(r Report) bool { return r.Tenant == grant.Tenant })
		funds := l.byTenant[grant.Tenant]
		if i >= 0 && funds != nil && reports[i].LeaseID == grant.LeaseID {
			funds.dropEnded(now)
			funds.applyGrant(now, call.Request.Share, reply.Token, validUntil, reports[i], grant)
			reports = reports[i+1:]
		}
	}
	l.noteChange(now)
}

// applyGrant applies the grant that answers a report.
func (w *wallet) applyGrant(now float64, share int, token uint64, validUntil float64, report Report, grant Grant) {
	w.refused[share] = refusal{}
	if grant.RetrySeconds > 0 {
		w.refused[share] = refusal{now, now + grant.RetrySeconds, grant.IsRecovering}
	}
	entry := w.find(grant.LeaseID)
	if entry == nil || entry.token != 0 && entry.token != token {
		return
	}
	if grant.IsUnknown {
		w.leases = slices.DeleteFunc(w.leases, func(other *lease) bool { return other == entry })
		return
	}
	entry.token, entry.isRecovering = token, grant.IsRecovering
	entry.granted = max(entry.granted, grant.Granted)
	entry.validUntil = max(entry.validUntil, validUntil)
	entry.reportedSpent = max(entry.reportedSpent, report.Spent)
	entry.reportedReturned = max(entry.reportedReturned, report.Returned)
	if entry.hasUnreported() {
		entry.unreportedSince = validUntil - LeaseSeconds
	}
}

// HandleNoReply handles a call without a reply from the share's lessor: it timed out, or the process that was called is not the lessor.
func (l *Lessee) HandleNoReply(now float64, call Call) {
	l.endCall(call).unavailableUntil = now + unavailableSeconds
	l.noteChange(now)
}

// endCall records that a call is no longer in flight.
func (l *Lessee) endCall(call Call) *shareState {
	state := &l.shares[call.Request.Share]
	state.isCalling = false
	for _, report := range call.Request.Reports {
		if funds := l.byTenant[report.Tenant]; funds != nil {
			funds.asked[call.Request.Share] = 0
		}
	}
	return state
}

// nextDecision returns when Step can next do something for the waiters if no other call comes before, +Inf if never: a deadline passes, a
// call becomes slow so that another lessor may be asked, or a lessor may be asked again.
func (l *Lessee) nextDecision(now float64) float64 {
	next := math.Inf(1)
	if len(l.waiting) == 0 {
		return next
	}
	for _, funds := range l.waiting {
		next = min(next, funds.waiters[0].deadline)
		for _, refused := range funds.refused {
			if refused.until > now {
				next = min(next, refused.until)
			}
		}
	}
	for share := range l.shares {
		state := &l.shares[share]
		if slowAt := state.calledAt + hedgeSeconds; state.isCalling && slowAt > now {
			next = min(next, slowAt)
		}
		if state.unavailableUntil > now {
			next = min(next, state.unavailableUntil)
		}
	}
	return next
}

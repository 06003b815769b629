package tokenlease

const (
	// maxLoanedFraction is the fraction of the capacity that may be leased. The rest is what the next lessor of the share may grant before
	// all leases of this one, which it doesn't know, have ended.
	maxLoanedFraction = 0.75
	// reserveFraction limits tokens that are granted beyond what waiting requests need: loans with them stay below this fraction of the
	// capacity, and they come only from what the bucket holds above 1 - reserveFraction of it. surplusFraction is the part of that surplus
	// that one lessee gets at a time.
	reserveFraction = 0.5
	surplusFraction = 0.25
	// minRetrySeconds and maxRetrySeconds bound the delay after which a refused lessee may ask again.
	minRetrySeconds = 0.05
	maxRetrySeconds = 1.0
	// competitorSeconds is how long a lessee that was refused tokens counts as still wanting them. Refused lessees take turns; each is told
	// to retry after retryFraction of the time until its turn, since not all of them retry.
	competitorSeconds = 1.0
	retryFraction     = 0.5
)

// account is a lessor's bucket for one tenant, with the loans from it. available + loaned <= capacity holds after each call, unless the
// capacity was lowered after tokens had been granted.
type account struct {
	limit      Limit   // of the share
	capacity   float64 // of the share
	available  float64 // tokens in the bucket
	loaned     int64   // tokens in loans
	refilledAt float64
	loans      map[string]*loan // by lessee

	grantedSum, refusedSum int64 // for Lessor.TakeUsage
}

// loan is what a lessor knows of one lease. Its token amounts are sums since the lease began.
type loan struct {
	id                       uint64
	granted, spent, returned int64
	renewedAt                float64 // time of the last report
	refusedAt                float64 // when the lessee was last refused tokens; 0 if never
}

// outstanding returns the tokens that the lessee may still spend, as far as the lessor knows.
func (b *loan) outstanding() int64 { return b.granted - b.spent - b.returned }

// setLimit applies the limit of the share and its capacity.
func (a *account) setLimit(limit Limit, capacity float64) { a.limit, a.capacity = limit, capacity }

// refill ends expired loans, and adds the tokens that have accrued since the last call.
func (a *account) refill(now float64, isRecovering bool) {
	for lessee, borrowed := range a.loans {
		if now-borrowed.renewedAt > countedLeaseSeconds {
			a.endLoan(lessee, borrowed)
		}
	}
	capacity := a.capacity
	if isRecovering {
		// Danger: leases of the previous lessor may still hold maxLoanedFraction of the capacity. Together with them, this bucket must
		// not exceed the capacity.
		capacity *= 1 - maxLoanedFraction
	}
	a.available += a.limit.Rate * max(now-a.refilledAt, 0)
	a.available = min(a.available, max(capacity-float64(a.loaned), 0))
	a.refilledAt = now
}

// endLoan removes a loan. Danger: its tokens must not become available again, since the lessee may have spent them without a report.
func (a *account) endLoan(lessee string, borrowed *loan) {
	a.loaned -= borrowed.outstanding()
	delete(a.loans, lessee)
}

// findLoan returns the loan that a report refers to: the known one, or a new one, which replaces that of an older lease. It returns nil if
// the lessor has already ended the loan or a later lease has begun.
func (a *account) findLoan(lessee string, report Report) *loan {
	known := a.loans[lessee]
	if known != nil && known.id == report.LeaseID {
		return known
	}
	if known != nil && known.id > report.LeaseID || report.Spent > 0 || report.Returned > 0 {
		return nil
	}
	if known != nil {
		a.endLoan(lessee, known)
	}
	begun := &loan{id: report.LeaseID}
	a.loans[lessee] = begun
	return begun
}

// applyReport applies the tokens that a lessee has spent and returned. Reports may arrive late or twice, so the sums never decrease.
func (a *account) applyReport(borrowed *loan, report Report) {
	spent := min(max(report.Spent-borrowed.spent, 0), borrowed.outstanding())
	borrowed.spent += spent
	returned := min(max(report.Returned-borrowed.returned, 0), borrowed.outstanding())
	borrowed.returned += returned
	a.loaned -= spent + returned
	a.available += float64(returned)
}

// grantNeeded grants as many of the tokens needed by waiting requests as are available, and returns how many.
func (a *account) grantNeeded(borrowed *loan, need int64) int64 {
	return a.grant(borrowed, min(need, int64(a.available), int64(maxLoanedFraction*a.capacity)-a.loaned))
}

// grantReserve grants tokens for future requests if there is a surplus.
func (a *account) grantReserve(borrowed *loan, reserve int64) {
	surplus := a.available - (1-reserveFraction)*a.capacity
	a.grant(borrowed, min(reserve, int64(surplusFraction*surplus), int64(reserveFraction*a.capacity)-a.loaned))
}

// grant moves tokens from the bucket to a loan and returns how many, 0 if the number is negative.
func (a *account) grant(borrowed *loan, tokens int64) int64 {
	tokens = max(tokens, 0)
	a.available -= float64(tokens)
	a.loaned += tokens
	borrowed.granted += tokens
	a.grantedSum += tokens
	return tokens
}

// refuse records tokens that were needed and not available, and returns when the lessee should ask again. That is based on the time until
// as many tokens have accrued for each recently refused lessee.
func (a *account) refuse(now float64, borrowed *loan, missing int64) (retrySeconds float64) {
	borrowed.refusedAt = now
	a.refusedSum += missing
	if a.limit.Rate <= 0 {
		return maxRetrySeconds
	}
	competitors := 0
	for _, other := range a.loans {
		if other.refusedAt > 0 && now-other.refusedAt < competitorSeconds {
			competitors++
		}
	}
	retrySeconds = retryFraction * float64(competitors) * float64(missing) / a.limit.Rate
	return min(max(retrySeconds, minRetrySeconds), maxRetrySeconds)
}

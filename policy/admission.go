package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// tenantDecaySeconds is the time constant of the decaying request counts by which tenants are compared.
	tenantDecaySeconds = 5.0
	// arrivalDecaySeconds is the time constant of the arrival rate.
	arrivalDecaySeconds = 2.0
	// retryBudgetRatio is how many retries each request adds to the retry budget.
	retryBudgetRatio = 0.1
	// maxRetryBudget is how many retries may be saved up.
	maxRetryBudget = 10
	// Hints of a request's work of maxWorkSeconds or more are ignored as implausible.
	maxWorkSeconds = 1e6
	// meanWorkGain is the gain of the moving average of work hints.
	meanWorkGain = 0.02
	// timeoutTolerance is the relative difference up to which the timeouts of first tries of a class count as equal.
	timeoutTolerance = 0.02
	// maxTimeoutVotes bounds the number of longer tries that it takes to replace the usual timeout of a class.
	maxTimeoutVotes = 100
)

// StartRequest accepts a request from a client. When the call returns, the request has been sent, refused or queued. Each request
// gets exactly one final answer: from a host, or by Actions.Refuse or Actions.Fail.
func (b *Balancer) StartRequest(now float64, q Request) {
	b.now = now
	if q.Class < 0 || q.Class >= len(b.settings.Classes) {
		b.actions.Refuse(q.ID, 0)
		return
	}
	q.HasWork = q.HasWork && q.WorkSeconds > 0 && q.WorkSeconds < maxWorkSeconds // false for NaN
	firstTargetAt := math.Inf(1)
	if i := b.unserved.indexOf(now, &q); i >= 0 {
		firstTargetAt = b.unserved[i].targetAt
		if firstTargetAt <= now {
			b.actions.Refuse(q.ID, b.settings.MaxRetryAfterSeconds)
			return
		}
		b.unserved = slices.Delete(b.unserved, i, i+1)
	}
	class := &b.settings.Classes[q.Class]
	r := &request{
		Request:      q,
		class:        class,
		arrivedAt:    b.now,
		targetAt:     b.now + class.LatencyTargetSeconds - b.firstTryAge(q),
		relativeWork: 1,
		liveIndex:    len(b.liveRequests),
		isOverShare:  b.exceedsShare(q.Tenant),
	}
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, maxRetryBudget)
	b.arrivalRate.add(b.now, arrivalDecaySeconds, 1)
	if r.HasWork {
		r.targetAt += class.TargetStretch * q.WorkSeconds
		mean := cmp.Or(b.meanWorkSeconds, q.WorkSeconds)
		b.meanWorkSeconds = mean + meanWorkGain*(min(q.WorkSeconds, 4*mean)-mean)
		r.relativeWork = q.WorkSeconds / b.meanWorkSeconds
	}
	r.targetAt = min(r.targetAt, q.Deadline, firstTargetAt)
	b.liveRequests = append(b.liveRequests, r)
	b.requestsByID[q.ID] = r
	b.dispatch(r)
}

// exceedsShare counts a request and returns whether its tenant sends more than its share, by a margin that covers the random
// variation of small numbers. A request beyond the share is dispatched after the others and is not held.
func (b *Balancer) exceedsShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantRequests) {
		return false
	}
	decay := math.Exp(-(b.now - b.tenantRequestsAt) / tenantDecaySeconds)
	b.tenantRequestsAt = b.now
	total := 0.0
	for i := range b.tenantRequests {
		b.tenantRequests[i] *= decay
		total += b.tenantRequests[i]
	}
	b.tenantRequests[tenant]++
	share := b.settings.Tenants[tenant].Share
	fair := share / max(1-share, 0.05) * (total + 1 - b.tenantRequests[tenant])
	return b.tenantRequests[tenant] > 1.4*fair+2*math.Sqrt(fair)+1
}

// firstTryAge returns how many seconds before this try of a client the first try must have started; 0 if this is the first.
//
// Work on a later try is wasted once the latency target of the first one has passed. A try with less time than usual for its
// class was cut short by the client's total timeout, and the time that is left of that timeout tells when the first try started.
// Where clients don't mark retries, clients with a shorter timeout than the others are mistaken for retrying ones.
func (b *Balancer) firstTryAge(q Request) float64 {
	timeout := &b.clientTimeouts[q.Class]
	left := q.Deadline - b.now + q.HeldBackSeconds
	switch {
	case left < (1-timeoutTolerance)*timeout.usualSeconds && b.settings.RetriesMarked && !q.Repeat:
		return 0 // the first try of a client with a shorter timeout
	case left < (1-timeoutTolerance)*timeout.usualSeconds:
		return max(b.settings.Classes[q.Class].TotalTimeoutSeconds-left, 0)
	case left < (1+timeoutTolerance)*timeout.usualSeconds:
		timeout.votes = min(timeout.votes+1, maxTimeoutVotes)
	default: // longer than usual: replaces the usual one only after more longer tries than there were votes for the usual one
		timeout.votes--
		if timeout.votes < 0 {
			timeout.usualSeconds = left
			timeout.votes = 1
		}
	}
	return 0
}

// clientTimeout is the usual timeout of a class's first tries, found by majority vote (Boyer-Moore).
type clientTimeout struct {
	usualSeconds float64
	votes        int // tries that confirmed usualSeconds, less those that were longer
}

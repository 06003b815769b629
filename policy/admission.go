package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	tenantDecaySeconds  = 5.0 // over which tenants are compared
	arrivalDecaySeconds = 2.0 // over which requests are counted that come
	retryBudgetRatio    = 0.1 // repeats for each request
)

// Request takes a request from a client.
func (b *Balancer) StartRequest(now float64, q Request) {
	b.now = now
	if q.Class < 0 || q.Class >= len(b.settings.Classes) {
		b.actions.Refuse(q.ID, 0)
		return
	}
	q.HasWork = q.HasWork && q.WorkSeconds > 0 && q.WorkSeconds < 1e6 // NaN is neither
	aim := math.Inf(1)
	if i := b.unserved.indexOf(now, &q); i >= 0 {
		if aim = b.unserved[i].targetAt; aim <= now {
			b.actions.Refuse(q.ID, b.settings.MaxRetryAfterSeconds)
			return
		}
		b.unserved = slices.Delete(b.unserved, i, i+1)
	}
	c := &b.settings.Classes[q.Class]
	r := &request{Request: q, class: c, arrivedAt: b.now, targetAt: b.now + c.LatencyTargetSeconds - b.firstTryAge(q), relativeWork: 1,
		liveIndex: len(b.liveRequests), isOverShare: b.exceedsShare(q.Tenant)}
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, 10)
	b.arrivalRate.add(b.now, arrivalDecaySeconds, 1)
	if r.HasWork {
		r.targetAt += c.TargetStretch * q.WorkSeconds
		mean := cmp.Or(b.meanWorkSeconds, q.WorkSeconds)
		b.meanWorkSeconds = mean + 0.02*(min(q.WorkSeconds, 4*mean)-mean)
		r.relativeWork = q.WorkSeconds / b.meanWorkSeconds
	}
	r.targetAt = min(r.targetAt, q.Deadline, aim)
	b.liveRequests, b.requestsByID[q.ID] = append(b.liveRequests, r), r
	b.dispatch(r)
}

// overShare counts a request; true: its tenant asks for clearly more than its share and goes last.
func (b *Balancer) exceedsShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantRequests) {
		return false
	}
	fade := math.Exp(-(b.now - b.tenantRequestsAt) / tenantDecaySeconds)
	b.tenantRequestsAt = b.now
	all := 0.0
	for i := range b.tenantRequests {
		b.tenantRequests[i] *= fade
		all += b.tenantRequests[i]
	}
	b.tenantRequests[tenant]++
	fair := b.settings.Tenants[tenant].Share / max(1-b.settings.Tenants[tenant].Share, 0.05) * (all + 1 - b.tenantRequests[tenant])
	return b.tenantRequests[tenant] > 1.4*fair+2*math.Sqrt(fair)+1
}

// lateness is how long before this try the client's first one must have been. Danger: work on a later try is
// lost once the aim of the first has passed. A try that is shorter than its class's usual one was cut by the
// client's total wait, which tells when that began. It hurts where clients of unlike patience mark none.
func (b *Balancer) firstTryAge(q Request) float64 {
	u, left := &b.clientTimeouts[q.Class], q.Deadline-b.now+q.HeldBackSeconds
	switch {
	case left < 0.98*u.usualSeconds && b.settings.RetriesMarked && !q.Repeat:
		return 0 // the first try of a client that waits for less
	case left < 0.98*u.usualSeconds:
		return max(b.settings.Classes[q.Class].TotalTimeoutSeconds-left, 0)
	case left < 1.02*u.usualSeconds:
		u.votes = min(u.votes+1, 100)
	default: // a single longer one may be odd
		if u.votes--; u.votes < 0 {
			u.usualSeconds, u.votes = left, 1
		}
	}
	return 0
}

// try is the usual length of a class's tries, with the votes for it.
type clientTimeout struct {
	usualSeconds float64
	votes        int
}

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	shareMemory = 5.0 // over which tenants are compared
	askMemory   = 2.0 // over which requests are counted that come
	repeatRate  = 0.1 // repeats for each request
)

// Request takes a request from a client.
func (b *Balancer) StartRequest(now float64, q Request) {
	b.now = now
	if q.Class < 0 || q.Class >= len(b.s.Classes) {
		b.do.Refuse(q.ID, 0)
		return
	}
	q.HasWork = q.HasWork && q.WorkSeconds > 0 && q.WorkSeconds < 1e6 // NaN is neither
	aim := math.Inf(1)
	if i := b.unserved.find(now, &q); i >= 0 {
		if aim = b.unserved[i].aim; aim <= now {
			b.do.Refuse(q.ID, b.s.MaxRetryAfterSeconds)
			return
		}
		b.unserved = slices.Delete(b.unserved, i, i+1)
	}
	c := &b.s.Classes[q.Class]
	r := &request{Request: q, class: c, arrived: b.now, aim: b.now + c.LatencyTargetSeconds - b.lateness(q), units: 1,
		index: len(b.live), over: b.overShare(q.Tenant)}
	b.budget = min(b.budget+repeatRate, 10)
	b.asks.add(b.now, askMemory, 1)
	if r.HasWork {
		r.aim += c.TargetStretch * q.WorkSeconds
		mean := cmp.Or(b.meanWork, q.WorkSeconds)
		b.meanWork = mean + 0.02*(min(q.WorkSeconds, 4*mean)-mean)
		r.units = q.WorkSeconds / b.meanWork
	}
	r.aim = min(r.aim, q.Deadline, aim)
	b.live, b.byID[q.ID] = append(b.live, r), r
	b.want(r)
}

// overShare counts a request; true: its tenant asks for clearly more than its share and goes last.
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.asked) {
		return false
	}
	fade := math.Exp(-(b.now - b.askedAt) / shareMemory)
	b.askedAt = b.now
	all := 0.0
	for i := range b.asked {
		b.asked[i] *= fade
		all += b.asked[i]
	}
	b.asked[tenant]++
	fair := b.s.Tenants[tenant].Share / max(1-b.s.Tenants[tenant].Share, 0.05) * (all + 1 - b.asked[tenant])
	return b.asked[tenant] > 1.4*fair+2*math.Sqrt(fair)+1
}

// lateness is how long before this try the client's first one must have been. Danger: work on a later try is
// lost once the aim of the first has passed. A try that is shorter than its class's usual one was cut by the
// client's total wait, which tells when that began. It hurts where clients of unlike patience mark none.
func (b *Balancer) lateness(q Request) float64 {
	u, left := &b.tries[q.Class], q.Deadline-b.now+q.HeldBackSeconds
	switch {
	case left < 0.98*u.usual && b.s.RetriesMarked && !q.Repeat:
		return 0 // the first try of a client that waits for less
	case left < 0.98*u.usual:
		return max(b.s.Classes[q.Class].TotalTimeoutSeconds-left, 0)
	case left < 1.02*u.usual:
		u.votes = min(u.votes+1, 100)
	default: // a single longer one may be odd
		if u.votes--; u.votes < 0 {
			u.usual, u.votes = left, 1
		}
	}
	return 0
}

// try is the usual length of a class's tries, with the votes for it.
type try struct {
	usual float64
	votes int
}

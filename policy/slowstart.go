package policy

import "math"

const (
	// slowStartBudgetFraction is the fraction of the work that would overload a warming host which all proxies together may
	// send it. A lower one is safer and warms hosts up with less traffic.
	slowStartBudgetFraction = 0.35
	// minWarmFraction is the fraction of the members that is taken to be warm at least, so that the budget stays small while most
	// of them warm up.
	minWarmFraction = 0.6
	// arrivalBudgetFraction is the fraction of the arrival rate that counts as sent while more is refused.
	arrivalBudgetFraction = 0.5
)

// capacityFraction returns the fraction of its full capacity that a host has: it grows linearly from SlowStartFraction to 1 in
// the SlowStartSeconds after its start or its recovery from an outage.
func (b *Balancer) capacityFraction(h *host) float64 {
	startedAt := max(h.Started, h.recoveryStartedAt)
	if startedAt <= 0 || b.now >= startedAt+b.settings.SlowStartSeconds || b.settings.SlowStartSeconds <= 0 {
		return 1
	}
	return b.settings.SlowStartFraction + (1-b.settings.SlowStartFraction)*max(b.now-startedAt, 0)/b.settings.SlowStartSeconds
}

// hasSlowStartBudget returns whether this proxy may send a warming host one more request in the present window. The budget is a
// multiple of what the proxy sends a warm host, in proportion to capacity and size.
//
// Danger: a thousand proxies that may each send one request overload a warming host. The fraction of a request that a proxy's
// budget has beyond complete ones is therefore granted by windowDraw, so that the budgets of all proxies add up. While many
// hosts warm up, the send rate is too low a measure, since requests that are refused for want of budget would keep the budget
// low; then the arrival rate counts.
func (b *Balancer) hasSlowStartBudget(h *host) bool {
	windowSeconds := max(b.settings.SlowStartWindowSeconds, 1e-6)
	b.advanceWindow(h, windowSeconds)
	capacity := b.capacityFraction(h)
	if capacity >= 1 {
		return true
	}
	warmMembers := max(b.warmCapacity, minWarmFraction*float64(len(b.members)), 1)
	usualWork := max(b.ownSendRate()*windowSeconds/warmMembers, b.warmMemberSent,
		arrivalBudgetFraction*b.arrivalRate.valueAt(b.now, arrivalDecaySeconds)*windowSeconds/float64(len(b.members)))
	budget := slowStartBudgetFraction * b.settings.SlowStartMultiple * capacity * b.groups.relativeSize(h) * usualWork
	// The window before counts by the part of it that a sliding window would still cover.
	return h.windowSent+h.previousWindowSent*(1-(b.now-h.windowStart)/windowSeconds)+h.windowDraw < budget
}

// advanceWindow starts a new window of a host if the last one has ended. The windows of all proxies start at the same times.
func (b *Balancer) advanceWindow(h *host, windowSeconds float64) {
	if b.now < h.windowStart+windowSeconds {
		return
	}
	h.previousWindowSent = h.windowSent
	if b.now >= h.windowStart+2*windowSeconds {
		h.previousWindowSent = 0
	}
	h.windowSent = 0
	h.windowStart = math.Floor(b.now/windowSeconds) * windowSeconds
	h.windowDraw = windowDraw(h.ID, h.windowStart, b.settings.Self, b.settings.Replicas)
}

// windowDraw returns a proxy's draw in [0, 1) for a window of a host. Danger: independent draws add up on average only, and now
// and then all proxies would win. A hash of host and window is the same for all proxies, and each adds its own offset, so that
// the draws of all proxies are spread evenly.
func windowDraw(host uint32, windowStart float64, self, replicas int) float64 {
	x := (uint64(host)<<32 ^ uint64(int64(1000*windowStart))) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	offset := float64(spreadIndex(self, max(replicas, 1))) / float64(max(replicas, 1))
	return math.Mod(float64((x^x>>32)>>11)/(1<<53)+offset, 1)
}

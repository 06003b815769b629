package policy

import "math"

const (
	// slowStartBudgetFraction is a fraction of the work that would overload a warming host: all proxies together may send it that
	// much. A lower value is safer, but hosts then warm up with less traffic.
	slowStartBudgetFraction = 0.35
	// minWarmFraction is the least fraction of the members that is assumed to be warm. It keeps the budget small while most
	// members warm up.
	minWarmFraction = 0.6
	// arrivalBudgetFraction is the fraction of the arrival rate that counts as sent when fewer requests are actually sent because
	// others are refused.
	arrivalBudgetFraction = 0.5
)

// capacityFraction returns the fraction of its full capacity that a host has. It grows linearly from SlowStartFraction to 1
// during the SlowStartSeconds after the host's start or its recovery from an outage.
func (b *Balancer) capacityFraction(h *host) float64 {
	startedAt := max(h.Started, h.recoveryStartedAt)
	if startedAt <= 0 || b.now >= startedAt+b.settings.SlowStartSeconds || b.settings.SlowStartSeconds <= 0 {
		return 1
	}
	return b.settings.SlowStartFraction + (1-b.settings.SlowStartFraction)*max(b.now-startedAt, 0)/b.settings.SlowStartSeconds
}

// hasSlowStartBudget returns whether this proxy may send a warming host one more request in the current window. The budget is a
// multiple of the work that the proxy sends to a warm host, in proportion to capacity and size.
//
// A thousand proxies that each send one request would overload a warming host. If a proxy's budget is not a whole number of
// requests, windowDraw decides whether the proxy may send one for the fractional part, so that the budgets of all proxies add up
// to the intended total. While many hosts warm up, requests that are refused for lack of budget would keep the send rate, and so
// the budget, low; the arrival rate counts instead then.
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
	// The previous window counts by the part of it that a sliding window would still cover.
	return h.windowSent+h.previousWindowSent*(1-(b.now-h.windowStart)/windowSeconds)+h.windowDraw < budget
}

// advanceWindow starts a new window for a host if the last one has ended. The windows of all proxies start at the same times.
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

// windowDraw returns a proxy's pseudo-random number in [0, 1) for a window of a host. Independent random numbers would add up
// only on average, and now and then most proxies would send at once. A hash of host and window is therefore the same for all
// proxies, and each adds an offset of its own, so that the numbers of all proxies are spread evenly.
func windowDraw(host uint32, windowStart float64, self, replicas int) float64 {
	x := (uint64(host)<<32 ^ uint64(int64(1000*windowStart))) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	offset := float64(spreadIndex(self, max(replicas, 1))) / float64(max(replicas, 1))
	return math.Mod(float64((x^x>>32)>>11)/(1<<53)+offset, 1)
}

package policy

import "math"

const (
	slowStartBudgetFraction = 0.35 // of the work that pushes a cold host over
)

// strength is the part of its capacity that a host has: less than 1 while it warms up.
func (b *Balancer) capacityFraction(h *host) float64 {
	from := max(h.Started, h.recoveryStartedAt)
	if from <= 0 || b.now >= from+b.settings.SlowStartSeconds || b.settings.SlowStartSeconds <= 0 {
		return 1
	}
	return b.settings.SlowStartFraction + (1-b.settings.SlowStartFraction)*max(b.now-from, 0)/b.settings.SlowStartSeconds
}

// coldRoom tells whether this proxy's part of a cold host's budget has room, measured by what it sends to a
// warm host, less for a small one. Danger: a thousand proxies that may each send one request push a cold host
// over. What is beyond whole requests is thinned by a draw, so that the parts add up. Where many are cold the
// rate of all says too little: what is refused for want of room would keep the room small.
func (b *Balancer) hasSlowStartBudget(h *host) bool {
	w := max(b.settings.SlowStartWindowSeconds, 1e-6)
	if b.now >= h.windowStart+w { // what was sent in the window before counts as far as it is within one of now
		if h.previousWindowSent = h.windowSent; b.now >= h.windowStart+2*w {
			h.previousWindowSent = 0
		}
		h.windowSent, h.windowStart = 0, math.Floor(b.now/w)*w // all proxies' windows begin at the same instants
		h.windowDraw = windowDraw(h.ID, h.windowStart, b.settings.Self, b.settings.Replicas)
	}
	strength, warm := b.capacityFraction(h), max(b.warmCapacity, 0.6*float64(len(b.members)), 1)
	if strength >= 1 {
		return true
	}
	usual := max(b.ownSendRate()*w/warm, b.warmMemberSent, 0.5*b.arrivalRate.valueAt(b.now, arrivalDecaySeconds)*w/float64(len(b.members)))
	room := slowStartBudgetFraction * b.settings.SlowStartMultiple * strength * b.groups.relativeSize(h) * usual
	return h.windowSent+h.previousWindowSent*(1-(b.now-h.windowStart)/w)+h.windowDraw < room
}

// luck is a proxy's draw for a host's window, 0 to 1. Danger: draws that know nothing of each other add up on average only, and
// now and then all proxies win. One number that host and window give to all is spread by each proxy's place.
func windowDraw(host uint32, window float64, self, replicas int) float64 {
	x := (uint64(host)<<32 ^ uint64(int64(1000*window))) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	own := float64(spreadIndex(self, max(replicas, 1))) / float64(max(replicas, 1))
	return math.Mod(float64((x^x>>32)>>11)/(1<<53)+own, 1)
}

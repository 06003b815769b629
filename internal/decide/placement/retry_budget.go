package placement

const (
	// ratioFraction is the part of the ratio that a proxy uses, slackPart that of the slack that all proxies together use.
	ratioFraction = 0.7
	slackFraction = 0.5
	// minAssumedProxies is the number of proxies that is assumed where fewer are known of.
	minAssumedProxies = 4
)

// RetryBudget bounds what a proxy sends to a service beyond the first arrival of each request, in a sliding window. Summed over all
// proxies it keeps the fleet's bound.
type RetryBudget struct {
	WindowSeconds float64
	Ratio         float64
	Slack         float64 // of the whole fleet

	requests []float64 // times
	retries  []float64
}

// RecordRequest counts a request of a client.
func (b *RetryBudget) RecordRequest(now float64) { b.requests = append(b.requests, now) }

// TrySpend takes one further arrival out of the budget, if there is room.
func (b *RetryBudget) TrySpend(now float64, proxies int) bool {
	b.requests, b.retries = dropBefore(b.requests, now-b.WindowSeconds), dropBefore(b.retries, now-b.WindowSeconds)
	allowed := ratioFraction*b.Ratio*float64(len(b.requests)) + slackFraction*b.Slack/float64(max(proxies, minAssumedProxies))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// Trim drops what is out of the window.
func (b *RetryBudget) Trim(now float64) {
	b.requests, b.retries = dropBefore(b.requests, now-b.WindowSeconds), dropBefore(b.retries, now-b.WindowSeconds)
}

func dropBefore(times []float64, from float64) []float64 {
	expired := 0
	for expired < len(times) && times[expired] < from {
		expired++
	}
	if expired == 0 {
		return times
	}
	return append(times[:0], times[expired:]...)
}

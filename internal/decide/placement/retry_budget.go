package placement

const (
	// ratioFraction and slackFraction are the fractions of the ratio and of the slack that proxies use. The rest is a safety
	// margin.
	ratioFraction = 0.7
	slackFraction = 0.5
	// minAssumedProxies is the least number of proxies among which the slack is divided, since not all proxies may be known yet.
	minAssumedProxies = 4
)

// RetryBudget limits the retries that a proxy sends to a service. In a sliding window they may not exceed a ratio of its requests
// plus a share of the fleet's slack. The budgets of all proxies together do not exceed the limit for the fleet.
type RetryBudget struct {
	WindowSeconds float64
	Ratio         float64
	Slack         float64 // retries that the whole fleet may make beyond Ratio

	requests []float64 // times of requests in the window
	retries  []float64 // times of retries in the window
}

// RecordRequest records a client's request.
func (b *RetryBudget) RecordRequest(now float64) { b.requests = append(b.requests, now) }

// TrySpend records a retry and returns true if the budget allows it. proxies is the known number of proxies.
func (b *RetryBudget) TrySpend(now float64, proxies int) bool {
	b.requests, b.retries = dropBefore(b.requests, now-b.WindowSeconds), dropBefore(b.retries, now-b.WindowSeconds)
	allowed := ratioFraction*b.Ratio*float64(len(b.requests)) + slackFraction*b.Slack/float64(max(proxies, minAssumedProxies))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// Trim drops requests and retries that have left the window. The caller should call it now and then for services without retries,
// which TrySpend does not trim.
func (b *RetryBudget) Trim(now float64) {
	b.requests, b.retries = dropBefore(b.requests, now-b.WindowSeconds), dropBefore(b.retries, now-b.WindowSeconds)
}

// dropBefore returns the times, which must be sorted, without those before from. It may modify the slice.
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

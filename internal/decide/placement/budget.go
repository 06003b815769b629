package placement

import "math"

func sqrt(x float64) float64 { return math.Sqrt(x) }

const (
	// budgetPart is the part of the ratio that a proxy uses, slackPart that of the slack that all proxies together use.
	budgetPart = 0.7
	slackPart  = 0.5
	// leastFleet is the number of proxies that is assumed where fewer are known of.
	leastFleet = 4
)

// RetryBudget bounds what a proxy sends to a service beyond the first arrival of each request, in a sliding window. Summed over all
// proxies it keeps the fleet's bound.
type RetryBudget struct {
	WindowSeconds float64
	Ratio         float64
	Slack         float64 // of the whole fleet

	requests []float64 // times
	extra    []float64
}

// RecordRequest counts a request of a client.
func (b *RetryBudget) RecordRequest(now float64) { b.requests = append(b.requests, now) }

// TrySpend takes one further arrival out of the budget, if there is room.
func (b *RetryBudget) TrySpend(now float64, proxies int) bool {
	b.requests, b.extra = since(b.requests, now-b.WindowSeconds), since(b.extra, now-b.WindowSeconds)
	room := budgetPart*b.Ratio*float64(len(b.requests)) + slackPart*b.Slack/float64(max(proxies, leastFleet))
	if float64(len(b.extra)+1) > room {
		return false
	}
	b.extra = append(b.extra, now)
	return true
}

// Trim drops what is out of the window.
func (b *RetryBudget) Trim(now float64) {
	b.requests, b.extra = since(b.requests, now-b.WindowSeconds), since(b.extra, now-b.WindowSeconds)
}

func since(times []float64, from float64) []float64 {
	drop := 0
	for drop < len(times) && times[drop] < from {
		drop++
	}
	if drop == 0 {
		return times
	}
	return append(times[:0], times[drop:]...)
}

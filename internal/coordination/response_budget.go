package coordination

import "hazelwheel/internal/peers/tokenbucket"

// Limits of the responses that a sidecar sends for one role: average rate and burst.
const (
	responseBytesPerSecond = 32 << 10
	responseBurstBytes     = 64 << 10
)

// responseBudget limits the bytes of the responses that a sidecar sends towards the holder of a role.
type responseBudget struct{ bucket tokenbucket.Bucket }

func newResponseBudget(now float64) responseBudget {
	return responseBudget{tokenbucket.New(responseBurstBytes, now)}
}

// take takes the bytes of a response out of the budget. If the budget is too small now, it returns when to try again, at most
// maxWaitSeconds later. A response that exceeds the burst may be sent once the budget is full.
func (b *responseBudget) take(now float64, bytes int, maxWaitSeconds float64) (retryAt float64, ok bool) {
	needed := float64(bytes)
	if available := b.bucket.Refill(now, responseBytesPerSecond, responseBurstBytes); available < needed && available < responseBurstBytes {
		return now + min((needed-available)/responseBytesPerSecond, maxWaitSeconds), false
	}
	b.bucket.Take(needed)
	return 0, true
}

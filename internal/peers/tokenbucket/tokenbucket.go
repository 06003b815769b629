// Package tokenbucket limits a rate: a bucket is refilled at a constant rate up to a burst, and each use takes tokens out of it. The
// caller passes the time in seconds; there is no clock and no locking.
package tokenbucket

// Bucket is a token bucket. The zero value was last refilled at time 0, so that with Unix time it is full at the first use.
type Bucket struct {
	tokens    float64
	updatedAt float64 // seconds
}

// New returns a bucket that holds the given tokens at time now, in seconds.
func New(tokens, now float64) Bucket { return Bucket{tokens, now} }

// Refill adds the tokens of the time since the last refill, up to burst, and returns how many there are.
func (b *Bucket) Refill(now, perSecond, burst float64) float64 {
	b.tokens, b.updatedAt = min(b.tokens+(now-b.updatedAt)*perSecond, burst), now
	return b.tokens
}

// Take takes n tokens out, even if there are fewer: the count is then negative until it is refilled.
func (b *Bucket) Take(n float64) { b.tokens -= n }

// TryTake refills the bucket and takes n tokens out, or none if there are fewer.
func (b *Bucket) TryTake(now, n, perSecond, burst float64) bool {
	if b.Refill(now, perSecond, burst) < n {
		return false
	}
	b.Take(n)
	return true
}

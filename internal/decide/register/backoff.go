package register

import "math"

const (
	// minBackoffSeconds and maxBackoffSeconds bound the longest delay that may be drawn after an undecided proposal.
	minBackoffSeconds = 0.02
	maxBackoffSeconds = 0.8
	// maxBackoffDoublings is how many times in a row the longest delay doubles.
	maxBackoffDoublings = 4
)

// Backoff spaces the proposals of one change. The zero Backoff is ready for use; each change needs a new one.
//
// Danger: two proposers that retry sooner than a proposal takes pre-empt each other again and again, however fast the voters
// are. The delays therefore scale with how long the last proposal took. They are drawn evenly from zero up to a length that
// doubles, so that one proposer retries so much sooner that it finishes before the other starts.
type Backoff struct {
	failures int
}

// NextDelay returns the delay in seconds after a proposal that took tookSeconds and ended Undecided. draw is a random number,
// even in [0, 1).
func (b *Backoff) NextDelay(tookSeconds, draw float64) float64 {
	longestSeconds := max(tookSeconds, minBackoffSeconds) * math.Pow(2, float64(min(b.failures, maxBackoffDoublings)))
	b.failures++
	return draw * min(longestSeconds, max(maxBackoffSeconds, tookSeconds))
}

package register

import "math"

const (
	// minBackoffSeconds and maxBackoffSeconds bound the upper limit of the random delay after an undecided proposal. A proposal that
	// took longer than maxBackoffSeconds raises the upper bound to its duration.
	minBackoffSeconds = 0.02
	maxBackoffSeconds = 0.8
	// maxBackoffDoublings is how many times in a row the upper limit doubles.
	maxBackoffDoublings = 4
)

// Backoff computes the delays between the proposals of one change. The zero Backoff is ready for use; each change needs a new
// one.
//
// Danger: two proposers whose delays are shorter than a proposal takes pre-empt each other again and again, however fast the
// voters are. The delays therefore scale with how long the last proposal took. They are drawn uniformly between zero and a
// limit that doubles, so that sooner or later one proposer finishes before the other starts.
type Backoff struct {
	failures int
}

// NextDelay returns the delay in seconds after a proposal that took tookSeconds and ended Undecided. draw is a uniform random
// number in [0, 1).
func (b *Backoff) NextDelay(tookSeconds, draw float64) float64 {
	longestSeconds := max(tookSeconds, minBackoffSeconds) * math.Pow(2, float64(min(b.failures, maxBackoffDoublings)))
	b.failures++
	return draw * min(longestSeconds, max(maxBackoffSeconds, tookSeconds))
}

package register

import "math"

const (
	// leastBackoff and mostBackoff bound the longest pause that may be drawn after a lost round, in seconds.
	leastBackoff = 0.02
	mostBackoff  = 0.8
	// backoffDoublings is how many times in a row the longest pause doubles.
	backoffDoublings = 4
)

// Backoff spaces the rounds of a proposer that others have outvoted. Danger: two proposers that come back sooner than a round takes outvote
// each other again and again, however fast the voters are. So pauses go by how long the own round took, and are drawn evenly from nothing
// up to a length that doubles, so that one of the two comes so much sooner that it ends before the other begins.
type Backoff struct {
	rounds int
}

// NextDelay returns how long to wait after a round that took so long and was outvoted, in seconds. draw is even in [0, 1).
func (b *Backoff) NextDelay(tookS, draw float64) float64 {
	longest := max(tookS, leastBackoff) * math.Pow(2, float64(min(b.rounds, backoffDoublings)))
	b.rounds++
	return draw * min(longest, max(mostBackoff, tookS))
}

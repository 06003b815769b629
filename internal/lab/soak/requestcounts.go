package soak

// requestCounts counts requests, and those of them that were answered with 200.
type requestCounts struct{ sent, served int }

// add returns the counts with one more request.
func (c requestCounts) add(isServed bool) requestCounts {
	c.sent++
	if isServed {
		c.served++
	}
	return c
}

// minRequestsForRatio is the number of requests from which a ratio is checked, minServedRatio the ratio that must be served: of all requests,
// or in proportion to the ratio of others.
const (
	minRequestsForRatio = 20
	minServedRatio      = 0.25
)

// servedRatio returns served over sent, 0 if nothing was sent.
func (c requestCounts) servedRatio() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

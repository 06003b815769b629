package soak

// served counts requests.
type requestCounts struct{ sent, served int }

func (s requestCounts) add(isServed bool) requestCounts {
	s.sent++
	if isServed {
		s.served++
	}
	return s
}

// leastRequests is from how many requests on a share is judged, leastShare the part that must be served.
const (
	minRequestsForRatio = 20
	minServedRatio      = 0.25
)

// share is 0 where nothing was sent.
func (s requestCounts) servedRatio() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

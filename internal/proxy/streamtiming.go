package proxy

import (
	"time"

	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// latePrefillFraction is the fraction of the latency target after which a prefill counts as late.
const latePrefillFraction = 0.5

// streamCounts counts the completed streams of a route and, by the first cause, those that missed a latency target.
type streamCounts struct {
	Served         int
	LatePrefill    int // the first event was late, and a separate prefill took more than latePrefillFraction of the target
	LateFirstEvent int // the first event was late for another reason
	LateGap        int // a gap between events was too long
}

// streamTiming holds the times of a stream that are compared with its latency targets.
type streamTiming struct {
	prefilledAt  time.Time // end of a separate prefill; zero: there was none
	firstEventAt time.Time // first event written
	lastEventAt  time.Time // last event written
	longestGap   time.Duration
}

// recordEvent records that an event was written.
func (s *streamTiming) recordEvent(now time.Time) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// add counts a completed stream of a route.
func (c *streamCounts) add(route *routeconfig.Route, arrivedAt time.Time, timing *streamTiming) {
	c.Served++
	latencyTarget := nodeconfig.FromMillis(route.LatencyTargetMs)
	switch {
	case latencyTarget > 0 && timing.firstEventAt.Sub(arrivedAt) > latencyTarget:
		if !timing.prefilledAt.IsZero() && float64(timing.prefilledAt.Sub(arrivedAt)) > latePrefillFraction*float64(latencyTarget) {
			c.LatePrefill++
		} else {
			c.LateFirstEvent++
		}
	case route.TokenGapTargetMs > 0 && timing.longestGap > nodeconfig.FromMillis(route.TokenGapTargetMs):
		c.LateGap++
	}
}

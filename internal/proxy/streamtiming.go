package proxy

import (
	"time"

	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// streamCounts counts the streams of a route that were served, and those of them that came late by what made them so.
type streamCounts struct {
	Served         int
	LatePrefill    int // more than half of the objective was over when the prompt had been read
	LateFirstEvent int // the first event came late all the same
	LateGap        int // a pause between events was too long
}

// streamTimes is when what mattered to a stream happened.
type streamTiming struct {
	prefilledAt  time.Time // the prompt had been read apart; zero: it was not
	firstEventAt time.Time // the first event went out
	lastEventAt  time.Time // the newest event went out
	longestGap   time.Duration
}

// event notes that an event goes out.
func (s *streamTiming) recordEvent(now time.Time) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// readingPart is the part of the objective after which a prompt has been read late.
const latePrefillFraction = 0.5

// add counts a stream of a route that was served.
func (c *streamCounts) add(route *routeconfig.Route, arrivedAt time.Time, timing *streamTiming) {
	c.Served++
	target := nodeconfig.FromMillis(route.LatencyTargetMs)
	switch {
	case target > 0 && timing.firstEventAt.Sub(arrivedAt) > target:
		if !timing.prefilledAt.IsZero() && float64(timing.prefilledAt.Sub(arrivedAt)) > latePrefillFraction*float64(target) {
			c.LatePrefill++
		} else {
			c.LateFirstEvent++
		}
	case route.TokenGapTargetMs > 0 && timing.longestGap > nodeconfig.FromMillis(route.TokenGapTargetMs):
		c.LateGap++
	}
}

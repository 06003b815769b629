package sidecar

import "github.com/HdrHistogram/hdrhistogram-go"

// RequestStats is how the requests of one class have fared.
type ClassStats struct {
	Class                                string
	Served, Throttled, Failed, Abandoned uint64
	// LatencyCounts are from when a request's time began to when it was answered, of those that were served, in microseconds, as counts of
	// a histogram that NewTimes returns.
	LatencyCounts []int64
}

const (
	minLatencyMicros, maxLatencyMicros = 100, 60_000_000
	latencyDigits                      = 2
)

// NewLatencyHistogram returns an empty histogram of times to answer, in microseconds. All that sidecars merge are of its shape.
func NewLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// times are the histograms of a sidecar that tells its fleet how requests fare.
type requestStats struct {
	byClass  []*hdrhistogram.Histogram // by class
	reported []classCounts             // when it was asked last
}

// EnableRequestStats has the sidecar keep how long its requests take. It comes before Start.
func (s *Sidecar) EnableRequestStats() {
	s.requestStats = &requestStats{reported: append([]classCounts(nil), s.counters.Classes...)}
	for range s.counters.Classes {
		s.requestStats.byClass = append(s.requestStats.byClass, NewLatencyHistogram())
	}
}

// note takes the end of a request that was served.
func (t *requestStats) record(r *request, now float64) {
	micros := int64(1e6 * (now - (r.deadline - r.timeoutSeconds)))
	_ = t.byClass[r.classIndex].RecordValue(min(max(micros, 0), maxLatencyMicros)) // fails only on what is out of these bounds
}

// RequestStats returns how requests have fared since it was called last, by class. It is for the loop.
func (s *Sidecar) RequestStats() (all []ClassStats) {
	if s.requestStats == nil {
		return nil
	}
	for i, c := range s.counters.Classes {
		reported, h := &s.requestStats.reported[i], s.requestStats.byClass[i]
		all = append(all, ClassStats{Class: c.Class, Served: c.Served - reported.Served, Throttled: c.Throttled - reported.Throttled, Failed: c.Failed - reported.Failed,
			Abandoned: c.Abandoned - reported.Abandoned, LatencyCounts: h.Export().Counts})
		*reported = c
		h.Reset()
	}
	return all
}

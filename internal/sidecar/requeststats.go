package sidecar

import "github.com/HdrHistogram/hdrhistogram-go"

// ClassStats counts the requests of one class and how they ended, since the stats were last taken.
type ClassStats struct {
	Class                                string
	Served, Throttled, Failed, Abandoned uint64
	// LatencyCounts are the bucket counts of a NewLatencyHistogram with the latencies of served requests in microseconds. A latency is
	// measured from the time at which the request's timeout began to its response.
	LatencyCounts []int64
}

const (
	minLatencyMicros, maxLatencyMicros = 100, 60_000_000
	latencyDigits                      = 2
)

// NewLatencyHistogram returns an empty histogram of latencies in microseconds. Only histograms with the same
// bounds and precision can be merged.
func NewLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// requestStats keeps the latencies of requests for the fleet's reports.
type requestStats struct {
	byClass  []*hdrhistogram.Histogram // by index of the class
	reported []classCounts             // the counters when the stats were last taken
}

// EnableRequestStats makes the sidecar collect what RequestStats returns. It must be called before Start.
func (s *Sidecar) EnableRequestStats() {
	s.requestStats = &requestStats{reported: append([]classCounts(nil), s.counters.Classes...)}
	for range s.counters.Classes {
		s.requestStats.byClass = append(s.requestStats.byClass, NewLatencyHistogram())
	}
}

// record adds the latency of a request that was served.
func (t *requestStats) record(r *request, now float64) {
	micros := int64(1e6 * (now - (r.deadline - r.timeoutSeconds)))
	_ = t.byClass[r.classIndex].RecordValue(min(max(micros, 0), maxLatencyMicros)) // the only error is a value out of these bounds
}

// RequestStats implements RoleHost.
func (s *Sidecar) RequestStats() (all []ClassStats) {
	if s.requestStats == nil {
		return nil
	}
	for i, c := range s.counters.Classes {
		reported, h := &s.requestStats.reported[i], s.requestStats.byClass[i]
		all = append(all, ClassStats{
			Class:         c.Class,
			Served:        c.Served - reported.Served,
			Throttled:     c.Throttled - reported.Throttled,
			Failed:        c.Failed - reported.Failed,
			Abandoned:     c.Abandoned - reported.Abandoned,
			LatencyCounts: h.Export().Counts,
		})
		*reported = c
		h.Reset()
	}
	return all
}

package sim

import "hazelwheel/internal/checker"

// serviceMeter measures the service second by second, as clients see it.
type serviceMeter struct {
	classes      []checker.Class
	requests     map[uint64]*meteredRequest // by the ID of each of their attempts
	weight       []float64                  // requested, by second of the day
	earnedWeight []float64                  // of requests served within the latency target, by second of the day
	rejected     []int                      // attempts, by second of the day
	start        float64
}

// meteredRequest is a request with all its attempts.
type meteredRequest struct {
	startedAt float64
	class     int32
	isServed  bool
}

// Observe implements checker.Observer.
func (m *serviceMeter) Observe(e checker.Event) {
	switch e.Kind {
	case checker.RequestStarted:
		a := m.requests[e.FirstRequest]
		if a == nil {
			a = &meteredRequest{startedAt: e.At, class: e.Class}
			*m.second(&m.weight, e.At) += m.classes[e.Class].PriorityWeight
		}
		m.requests[e.FirstRequest], m.requests[e.Request] = a, a
	case checker.ResponseReceived:
		a := m.requests[e.Request]
		switch {
		case a == nil || a.isServed:
		case e.Status == 200:
			if a.isServed = true; e.At-a.startedAt <= m.classes[a.class].LatencyTargetSeconds {
				*m.second(&m.earnedWeight, a.startedAt) += m.classes[a.class].PriorityWeight
			}
		case e.Status == 429 || e.Status == 503:
			i := int(e.At - m.start)
			for len(m.rejected) <= i {
				m.rejected = append(m.rejected, 0)
			}
			m.rejected[i]++
		}
	}
}

// second returns the value of a time's second, and extends values up to it.
func (m *serviceMeter) second(all *[]float64, at float64) *float64 {
	i := int(at - m.start)
	for len(*all) <= i {
		*all = append(*all, 0)
	}
	return &(*all)[i]
}

// service returns the earned share of the weight requested between two seconds.
func (m *serviceMeter) service(from, to int) float64 {
	weight, earnedWeight := 0.0, 0.0
	for i := from; i < min(to, len(m.weight)); i++ {
		if weight += m.weight[i]; i < len(m.earnedWeight) {
			earnedWeight += m.earnedWeight[i]
		}
	}
	if weight == 0 {
		return 1
	}
	return earnedWeight / weight
}

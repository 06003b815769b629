package environment

import (
	"math/rand/v2"
	"strconv"
)

// loadReports are a server's reports of its load: made at intervals, published after a lag, and with some noise.
type loadReports struct {
	intervalSeconds, lagSeconds, noise float64
	nextAt                             float64 // when the next one is made, or the pending one published
	madeAt                             float64
	pending                            []byte // made and not published; empty: none
	published                          []byte
	executed, failed                   int // since the last was made
}

// start starts with a report of no load.
func (r *loadReports) start(s *ServerSpec, now float64) {
	*r = loadReports{
		intervalSeconds: s.ReportIntervalSeconds,
		lagSeconds:      s.ReportLagSeconds,
		noise:           s.ReportNoise,
		nextAt:          now + s.ReportIntervalSeconds,
		madeAt:          now,
	}
	r.published = []byte("util=0.00,eps=0.00,queue=0.00\n")
}

// countExecution counts a completed execution.
func (r *loadReports) countExecution(failed bool) {
	r.executed++
	if failed {
		r.failed++
	}
}

// refresh makes and publishes the reports that are due.
func (r *loadReports) refresh(e *Engine, rng *rand.Rand, now float64) {
	if now < r.nextAt {
		return
	}
	if len(r.pending) > 0 {
		r.published = append(r.published[:0], r.pending...)
		r.pending = r.pending[:0]
		r.nextAt = max(r.madeAt+r.intervalSeconds, now)
		if r.nextAt > now {
			return
		}
	}
	wrong := func(v float64) float64 { return max(0, v*(1+r.noise*rng.NormFloat64())) }
	util := float64(len(e.running)) / float64(e.spec.Slots)
	eps := float64(r.failed) / max(now-r.madeAt, 0.001)
	r.pending = append(r.pending[:0], "util="...)
	r.pending = strconv.AppendFloat(r.pending, min(1, wrong(util)), 'f', 2, 64)
	r.pending = strconv.AppendFloat(append(r.pending, ",eps="...), wrong(eps), 'f', 2, 64)
	r.pending = strconv.AppendFloat(append(r.pending, ",queue="...), wrong(float64(e.Queued())), 'f', 2, 64)
	r.pending = append(r.pending, '\n')
	r.madeAt, r.executed, r.failed = now, 0, 0
	r.nextAt = now + r.lagSeconds
}

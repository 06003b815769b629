package environment

import (
	"math/rand/v2"
	"strconv"
)

// loadReports are what a box says of its load: made now and then, shown some time after, and a little wrong.
type loadReports struct {
	intervalSeconds, lagSeconds, noise float64
	nextAt                             float64 // when one is to be made, or shown
	madeAt                             float64
	pending                            []byte // waits to be shown; empty: none does
	published                          []byte
	executed, failed                   int // since the last was made
}

func (r *loadReports) start(s *ServerSpec, now float64) {
	*r = loadReports{intervalSeconds: s.ReportIntervalSeconds, lagSeconds: s.ReportLagSeconds, noise: s.ReportNoise, nextAt: now + s.ReportIntervalSeconds, madeAt: now}
	r.published = []byte("util=0.00,eps=0.00,queue=0.00\n")
}

// note counts an execution that is done.
func (r *loadReports) countExecution(failed bool) {
	r.executed++
	if failed {
		r.failed++
	}
}

// refresh makes and shows what is due by now.
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

package environment

import (
	"math/rand/v2"
	"strconv"
)

// loadReports are what a box says of its load: made now and then, shown some time after, and a little wrong.
type loadReports struct {
	every, lag, noise float64
	next              float64 // when one is to be made, or shown
	madeAt            float64
	made              []byte // waits to be shown; empty: none does
	shown             []byte
	served, failed    int // since the last was made
}

func (r *loadReports) begin(s *ServerSpec, now float64) {
	*r = loadReports{every: s.ReportIntervalSeconds, lag: s.ReportLagSeconds, noise: s.ReportNoise, next: now + s.ReportIntervalSeconds, madeAt: now}
	r.shown = []byte("util=0.00,eps=0.00,queue=0.00\n")
}

// note counts an execution that is done.
func (r *loadReports) note(failed bool) {
	r.served++
	if failed {
		r.failed++
	}
}

// refresh makes and shows what is due by now.
func (r *loadReports) refresh(e *Engine, rng *rand.Rand, now float64) {
	if now < r.next {
		return
	}
	if len(r.made) > 0 {
		r.shown = append(r.shown[:0], r.made...)
		r.made = r.made[:0]
		r.next = max(r.madeAt+r.every, now)
		if r.next > now {
			return
		}
	}
	wrong := func(v float64) float64 { return max(0, v*(1+r.noise*rng.NormFloat64())) }
	util := float64(len(e.inWork)) / float64(e.spec.Slots)
	eps := float64(r.failed) / max(now-r.madeAt, 0.001)
	r.made = append(r.made[:0], "util="...)
	r.made = strconv.AppendFloat(r.made, min(1, wrong(util)), 'f', 2, 64)
	r.made = strconv.AppendFloat(append(r.made, ",eps="...), wrong(eps), 'f', 2, 64)
	r.made = strconv.AppendFloat(append(r.made, ",queue="...), wrong(float64(e.Queued())), 'f', 2, 64)
	r.made = append(r.made, '\n')
	r.madeAt, r.served, r.failed = now, 0, 0
	r.next = now + r.lag
}

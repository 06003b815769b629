package policy

import (
	"math"
	"slices"
)

const (
	firstLine = 24.0 // requests in flight that all proxies allow a new host
	leastLine = 4.0  // and at least
	shunPart  = 0.05 // of the aim: shortest pause after a host has turned a request away
)

// learn takes from an outcome what it tells of the host; deadConn: it tells of the connection alone.
func (b *Balancer) learn(h *host, res Result) (deadConn bool) {
	i := slices.IndexFunc(h.outs, func(o out) bool { return o.id == res.ID })
	if i < 0 {
		return false
	}
	o := h.outs[i]
	h.outs = slices.Delete(h.outs, i, i+1)
	if b.lostIdle(o, res) {
		return true
	}
	r := b.byID[res.ID]
	b.errors *= 0.95
	x := 6.0 // a host that fails fast must not look quick
	switch res.Outcome {
	case OK:
		h.refused, h.servedAt = 0, b.now
		h.turned[o.class] /= 2
		x = min(res.DelaySeconds/o.expected, 10)
		b.learnTimes(h, r, res.DelaySeconds, o)
	case HostError, Reset, TimedOut, ConnectFailed:
		if res.Outcome == HostError {
			// Danger: useless requests that fail anywhere condemn sound hosts. The more of all attempts err,
			// the less an error accuses its host. A quick one costs no repeat.
			b.shun(h, o.class, 2-2*min(3*b.errors, 1))
			x -= 5 * min(3*b.errors, 1)
			b.errors += 0.05
			b.budget += max(1-4*res.DelaySeconds/o.expected, 0)
		}
		if res.Outcome == TimedOut {
			b.cut(h)
		} else if res.Outcome != HostError {
			h.refused, h.refusedAt, b.phiAt = h.refused+1, b.now, b.now-1
		}
	case Rejected:
		if b.shun(h, o.class, 1); b.peers > 2*probePeers {
			h.line, h.lineAt = max(b.line(h), 0.5*b.aim), b.now
		}
		return false
	default:
		return false
	}
	h.ratio, h.ratioAt = 0.9*b.faded(h)+0.1*x, b.now
	return false
}

// shun leaves a host alone for a class, longer each time. Danger: one that refuses at once looks idle.
func (b *Balancer) shun(h *host, class int, step float64) {
	h.turned[class] = min(h.turned[class]+step, 8)
	h.shunned[class] = b.now + min(shunPart*b.aim*math.Exp2(h.turned[class]), 2*probeEvery)
}

// faded is a host's delay against what is usual; it fades to 1 as the samples age.
func (b *Balancer) faded(h *host) float64 { return 1 + (h.ratio-1)/(1+(b.now-h.ratioAt)/5) }

// learnTimes updates the usual times and, where reports are absent, the host's limit.
func (b *Balancer) learnTimes(h *host, r *request, delay float64, o out) {
	b.svc *= 1 + 0.02*(min(delay/o.expected, 3)-1)
	if r == nil {
		return
	}
	mean := &b.classMean[r.Request.Class]
	b.kinds.learn(h.Kind, max(delay-o.line, 0) / *mean)
	if b.peers > 2*probePeers { // where few share a host, own requests in flight tell more than one answer
		h.line, h.lineAt = max(delay-2.4**mean/b.strength(h), 0.5*b.line(h)), b.now
	}
	*mean += 0.02 * (min(max(delay-o.line, 0.3**mean), 4*r.class.LatencyTargetSeconds) - *mean)
	aim := math.Inf(1) // what this class may take while the class with the tightest aim still fits
	for i, m := range b.classMean {
		aim = min(aim, b.s.Classes[i].LatencyTargetSeconds**mean/m)
	}
	switch {
	case delay > 0.3*aim && b.now-h.cutAt > 0.3*aim:
		b.cut(h)
	case delay < 0.2*aim && float64(len(h.outs))+1 >= 0.6*h.limit:
		h.limit += min(1/h.limit, 0.5*h.limit)
	}
}

// cut shrinks a host's limit; where it is small, samples are rare and each one tells more.
func (b *Balancer) cut(h *host) {
	h.limit, h.cutAt = max(min(1, leastLine/b.peers), h.limit*min(0.5+0.1*h.limit, 0.85)), b.now
}

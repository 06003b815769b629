package policy

import (
	"math"
	"slices"
)

const (
	initialLimit       = 24.0 // requests in flight that all proxies allow a new host
	minLimit           = 4.0  // and at least
	minBackoffFraction = 0.05 // of the aim: shortest pause after a host has turned a request away
)

// learn takes from an outcome what it tells of the host; deadConn: it tells of the connection alone.
func (b *Balancer) learnOutcome(h *host, res Result) (deadConn bool) {
	i := slices.IndexFunc(h.inFlight, func(o inFlightAttempt) bool { return o.requestID == res.ID })
	if i < 0 {
		return false
	}
	o := h.inFlight[i]
	h.inFlight = slices.Delete(h.inFlight, i, i+1)
	if b.lostOnIdleConn(o, res) {
		return true
	}
	r := b.requestsByID[res.ID]
	b.errorFraction *= 0.95
	x := 6.0 // a host that fails fast must not look quick
	switch res.Outcome {
	case OK:
		h.connFailures, h.lastResponseAt = 0, b.now
		h.rejections[o.class] /= 2
		x = min(res.DelaySeconds/o.expectedSeconds, 10)
		b.learnLatency(h, r, res.DelaySeconds, o)
	case HostError, Reset, TimedOut, ConnectFailed:
		if res.Outcome == HostError {
			// Danger: useless requests that fail anywhere condemn sound hosts. The more of all attempts err,
			// the less an error accuses its host. A quick one costs no repeat.
			b.backOff(h, o.class, 2-2*min(3*b.errorFraction, 1))
			x -= 5 * min(3*b.errorFraction, 1)
			b.errorFraction += 0.05
			b.retryBudget += max(1-4*res.DelaySeconds/o.expectedSeconds, 0)
		}
		if res.Outcome == TimedOut {
			b.cutLimit(h)
		} else if res.Outcome != HostError {
			h.connFailures, h.connFailedAt, b.phiUpdatedAt = h.connFailures+1, b.now, b.now-1
		}
	case Rejected:
		if b.backOff(h, o.class, 1); b.proxiesPerHost > 2*probingProxies {
			h.queueSeconds, h.queueMeasuredAt = max(b.queueDelay(h), 0.5*b.tightestTargetSeconds), b.now
		}
		return false
	default:
		return false
	}
	h.latencyRatio, h.latencyRatioAt = 0.9*b.decayedLatencyRatio(h)+0.1*x, b.now
	return false
}

// shun leaves a host alone for a class, longer each time. Danger: one that refuses at once looks idle.
func (b *Balancer) backOff(h *host, class int, step float64) {
	h.rejections[class] = min(h.rejections[class]+step, 8)
	h.backoffUntil[class] = b.now + min(minBackoffFraction*b.tightestTargetSeconds*math.Exp2(h.rejections[class]), 2*probeIntervalSeconds)
}

// faded is a host's delay against what is usual; it fades to 1 as the samples age.
func (b *Balancer) decayedLatencyRatio(h *host) float64 {
	return 1 + (h.latencyRatio-1)/(1+(b.now-h.latencyRatioAt)/5)
}

// learnTimes updates the usual times and, where reports are absent, the host's limit.
func (b *Balancer) learnLatency(h *host, r *request, delay float64, o inFlightAttempt) {
	b.serviceSeconds *= 1 + 0.02*(min(delay/o.expectedSeconds, 3)-1)
	if r == nil {
		return
	}
	mean := &b.classMeanSeconds[r.Request.Class]
	b.kindFactors.learn(h.Kind, max(delay-o.expectedQueueSeconds, 0) / *mean)
	if b.proxiesPerHost > 2*probingProxies { // where few share a host, own requests in flight tell more than one answer
		h.queueSeconds, h.queueMeasuredAt = max(delay-2.4**mean/b.capacityFraction(h), 0.5*b.queueDelay(h)), b.now
	}
	*mean += 0.02 * (min(max(delay-o.expectedQueueSeconds, 0.3**mean), 4*r.class.LatencyTargetSeconds) - *mean)
	aim := math.Inf(1) // what this class may take while the class with the tightest aim still fits
	for i, m := range b.classMeanSeconds {
		aim = min(aim, b.settings.Classes[i].LatencyTargetSeconds**mean/m)
	}
	switch {
	case delay > 0.3*aim && b.now-h.limitCutAt > 0.3*aim:
		b.cutLimit(h)
	case delay < 0.2*aim && float64(len(h.inFlight))+1 >= 0.6*h.concurrencyLimit:
		h.concurrencyLimit += min(1/h.concurrencyLimit, 0.5*h.concurrencyLimit)
	}
}

// cut shrinks a host's limit; where it is small, samples are rare and each one tells more.
func (b *Balancer) cutLimit(h *host) {
	h.concurrencyLimit, h.limitCutAt = max(min(1, minLimit/b.proxiesPerHost), h.concurrencyLimit*min(0.5+0.1*h.concurrencyLimit, 0.85)), b.now
}

package policy

import (
	"math"
	"slices"
)

const (
	// initialLimit is the concurrency limit of a new host, summed over all proxies that share it.
	initialLimit = 24.0
	// minLimit is the lowest concurrency limit of a host, summed over all proxies that share it; one proxy's part of it is at most
	// 1.
	minLimit = 4.0
	// minBackoffFraction is the unit of the backoff from a host that rejects requests, as a fraction of the tightest latency
	// target.
	minBackoffFraction = 0.05
	// maxHostBackoffSeconds bounds that backoff.
	maxHostBackoffSeconds = 2 * probeIntervalSeconds
	// maxRejections bounds the exponent of that backoff.
	maxRejections = 8
	// failedLatencyRatio is the latency ratio that a failed attempt counts as, so that a host that fails fast does not look fast.
	failedLatencyRatio = 6.0
	// maxLatencyRatio bounds the latency ratio of an answer.
	maxLatencyRatio = 10
	// latencyRatioGain is the gain of the moving average of a host's latency ratios.
	latencyRatioGain = 0.1
	// errorGain is the gain of the moving fraction of attempts that end with HostError.
	errorGain = 0.05
	// serviceTimeGain is the gain of the moving averages of service times.
	serviceTimeGain = 0.02
	// slowAnswerFraction and fastAnswerLimitFraction are fractions of a class's latency target. An answer slower than the first
	// cuts the concurrency limit; one faster than the second raises it.
	slowAnswerFraction      = 0.3
	fastAnswerLimitFraction = 0.2
	// limitUseFraction is the fraction of the concurrency limit that must be in use for the limit to be raised.
	limitUseFraction = 0.6
	// latencyRatioDecaySeconds is the age at which the difference between a latency ratio and 1 has halved.
	latencyRatioDecaySeconds = 5
)

// learnOutcome updates the estimates of a host by the outcome of an attempt. It returns true if the outcome tells only about the
// connection, not about the host.
func (b *Balancer) learnOutcome(h *host, res Result) (onlyConnLost bool) {
	i := slices.IndexFunc(h.inFlight, func(a inFlightAttempt) bool { return a.requestID == res.ID })
	if i < 0 {
		return false
	}
	sent := h.inFlight[i]
	h.inFlight = slices.Delete(h.inFlight, i, i+1)
	if b.lostOnIdleConn(sent, res) {
		return true
	}
	r := b.requestsByID[res.ID]
	b.errorFraction *= 1 - errorGain
	ratio := failedLatencyRatio
	switch res.Outcome {
	case OK:
		h.connFailures = 0
		h.lastResponseAt = b.now
		h.rejections[sent.class] /= 2
		ratio = min(res.DelaySeconds/sent.expectedSeconds, maxLatencyRatio)
		b.learnLatency(h, r, res.DelaySeconds, sent)
	case HostError:
		// Bad requests that fail at any host must not count against healthy hosts: the larger the fraction of all attempts that end
		// with an error, the less an error counts against its host. A fast error gives its retry back to the budget.
		commonness := min(3*b.errorFraction, 1)
		b.backOff(h, sent.class, 2-2*commonness)
		ratio -= 5 * commonness
		b.errorFraction += errorGain
		b.retryBudget += max(1-4*res.DelaySeconds/sent.expectedSeconds, 0)
	case TimedOut:
		b.cutLimit(h)
	case Reset, ConnectFailed:
		h.connFailures++
		h.connFailedAt = b.now
		b.phiUpdatedAt = b.now - 1 // the next pick updates phi
	case Rejected:
		b.backOff(h, sent.class, 1)
		if b.isHostWidelyShared() {
			h.queueSeconds = max(b.queueDelay(h), 0.5*b.tightestTargetSeconds)
			h.queueMeasuredAt = b.now
		}
		return false
	default:
		return false
	}
	h.latencyRatio = (1-latencyRatioGain)*b.decayedLatencyRatio(h) + latencyRatioGain*ratio
	h.latencyRatioAt = b.now
	return false
}

// isHostWidelyShared returns whether so many proxies share a host that a single answer tells more about its queue than the own
// attempts in flight.
func (b *Balancer) isHostWidelyShared() bool { return b.proxiesPerHost > 2*probingProxies }

// backOff pauses new requests of a class to a host. The pause doubles with each rejection. Without it, a host that rejects at
// once would look idle and attract all requests.
func (b *Balancer) backOff(h *host, class int, weight float64) {
	h.rejections[class] = min(h.rejections[class]+weight, maxRejections)
	pauseSeconds := min(minBackoffFraction*b.tightestTargetSeconds*math.Exp2(h.rejections[class]), maxHostBackoffSeconds)
	h.backoffUntil[class] = b.now + pauseSeconds
}

// decayedLatencyRatio returns the ratio of a host's actual delays to the expected ones; it decays to 1 as the samples age.
func (b *Balancer) decayedLatencyRatio(h *host) float64 {
	return 1 + (h.latencyRatio-1)/(1+(b.now-h.latencyRatioAt)/latencyRatioDecaySeconds)
}

// learnLatency updates the estimated service times by an answer and, where reports are absent, the host's concurrency limit. r is
// nil if the request had got its final answer before.
func (b *Balancer) learnLatency(h *host, r *request, delaySeconds float64, sent inFlightAttempt) {
	b.serviceSeconds *= 1 + serviceTimeGain*(min(delaySeconds/sent.expectedSeconds, 3)-1)
	if r == nil {
		return
	}
	mean := &b.classMeanSeconds[r.Request.Class]
	b.kindFactors.learn(h.Kind, max(delaySeconds-sent.expectedQueueSeconds, 0) / *mean)
	if b.isHostWidelyShared() {
		h.queueSeconds = max(delaySeconds-2.4**mean/b.capacityFraction(h), 0.5*b.queueDelay(h))
		h.queueMeasuredAt = b.now
	}
	*mean += serviceTimeGain * (min(max(delaySeconds-sent.expectedQueueSeconds, 0.3**mean), 4*r.class.LatencyTargetSeconds) - *mean)
	b.adaptLimit(h, *mean, delaySeconds)
}

// adaptLimit adapts a host's concurrency limit to the delay of an answer, with additive increase and multiplicative decrease. A
// slow answer cuts the limit, at most once within the delay that counts as slow; a fast answer raises it if it is nearly used up.
// mean is the mean delay of the answer's class.
func (b *Balancer) adaptLimit(h *host, mean, delaySeconds float64) {
	targetSeconds := math.Inf(1) // delay in this class that corresponds to a class reaching its target, the smallest over all classes
	for i, otherMean := range b.classMeanSeconds {
		targetSeconds = min(targetSeconds, b.settings.Classes[i].LatencyTargetSeconds*mean/otherMean)
	}
	switch {
	case delaySeconds > slowAnswerFraction*targetSeconds && b.now-h.limitCutAt > slowAnswerFraction*targetSeconds:
		b.cutLimit(h)
	case delaySeconds < fastAnswerLimitFraction*targetSeconds && float64(len(h.inFlight))+1 >= limitUseFraction*h.concurrencyLimit:
		h.concurrencyLimit += min(1/h.concurrencyLimit, 0.5*h.concurrencyLimit)
	}
}

// cutLimit decreases a host's concurrency limit. A small limit is cut by a larger factor, since answers are rare there and each
// one counts for more.
func (b *Balancer) cutLimit(h *host) {
	h.concurrencyLimit = max(min(1, minLimit/b.proxiesPerHost), h.concurrencyLimit*min(0.5+0.1*h.concurrencyLimit, 0.85))
	h.limitCutAt = b.now
}

package policy

import (
	"cmp"
	"math"
)

const (
	// probeIntervalSeconds is the shortest interval (cadence) of the probes that feed the failure detector.
	probeIntervalSeconds = 1.0
	// probingProxies is the number of proxies that may probe a host without lengthening the cadence. With more proxies, the
	// cadence is at least half a second for each additional one, within the limits of probeCadence.
	probingProxies = 4.0
	// probeJitterFraction is the largest random deviation of a probe's time in both directions, as a fraction of the cadence.
	probeJitterFraction = 0.1
	// probeBudgetFraction is how much the probes for each own request may cost, as a fraction of the value of a request.
	probeBudgetFraction = 0.016
	// maxProbeStretch is the largest factor by which little own traffic lengthens the cadence.
	maxProbeStretch = 6.0
	// outageCadences is the gap between answers, in cadences, above which a host may have been restarted.
	outageCadences = 2.5
	// probeRTTGain and meanGapGain are the gains of the moving averages of probe delays and of gaps.
	probeRTTGain = 0.05
	meanGapGain  = 0.02
)

// addMember makes a host a member and starts its health checks. Its window of gaps is filled up to seedGaps with the mean gap of
// all members. The first probe comes at a random time within the cadence, since proxies that all probe or connect at once would
// overload a host that has just started.
func (b *Balancer) addMember(h *host) {
	for len(h.gaps) < seedGaps {
		h.gaps = append(h.gaps, float32(b.meanGap))
	}
	h.updateGapStats()
	h.isMember = true
	h.hasAnswered = false
	h.lastAnswerAt = b.now
	h.nextCadence = b.probeCadence()
	h.currentCadence = h.nextCadence
	h.concurrencyLimit = cmp.Or(h.concurrencyLimit, initialLimit/b.proxiesPerHost)
	h.nextProbeAt = b.now + b.rng.Float64()*h.currentCadence
	b.armWake(h.nextProbeAt)
}

// probeCadence returns the seconds between two cadence probes of a member. They grow with the number of proxies that probe the
// same host, with the price of a probe, and with the number of members for each own request.
//
// With a fixed cadence, many proxies with little traffic each would send more probes than requests. As queues build up, the
// cadence is shortened again, since probe delays then show the load.
func (b *Balancer) probeCadence() float64 {
	maxStretch := maxProbeStretch - (maxProbeStretch-1)*min(4*b.usualQueueFraction, 1)
	membersPerRequest := float64(len(b.members)) / max(b.ownSendRate(), 1e-9)
	relativePrice := max(b.settings.ProbePrice/probeBudgetFraction, 2)
	return probeIntervalSeconds * max(min(max(0.5*membersPerRequest, 1), maxStretch),
		min((b.proxiesPerHost-probingProxies)/2, relativePrice*membersPerRequest, maxProbeStretch))
}

// sendProbes sends the cadence probes that are due and arms the wake-up for the next ones.
func (b *Balancer) sendProbes() {
	if !b.settings.ProbesEnabled {
		return
	}
	for _, h := range b.members {
		if h.nextProbeAt <= b.now {
			b.actions.Probe(h.ID)
			h.probedAt = b.now
			h.nextCadence = b.probeCadence()
			h.nextProbeAt = b.now + h.nextCadence*(1+probeJitterFraction*(2*b.rng.Float64()-1))
		}
		b.armWake(h.nextProbeAt)
	}
}

// ProbeDone handles the result of a probe that was started by Actions.Probe. Whether it was a cadence probe or a poll for a
// report is recognized by its send time, to within a tick.
func (b *Balancer) ProbeDone(now float64, r Result) {
	b.now = now
	h := b.hosts[r.Host]
	if h == nil {
		return
	}
	sentAt := now - r.LateSeconds - r.DelaySeconds
	matches := func(at float64) bool { return math.Abs(sentAt-at) <= b.settings.TickSeconds+1e-4 }
	isCadenceProbe := matches(h.probedAt)
	if isCadenceProbe {
		h.probedAt = 0
	}
	if matches(h.polledAt) {
		h.polledAt = 0
	}
	if r.Outcome == OK || r.Outcome == Rejected {
		h.connFailures = 0
		b.handleProbeAnswer(h, isCadenceProbe, sentAt, r)
	}
	b.learnQueueDelay(h, r.Outcome, r.DelaySeconds)
	if b.pollsReports {
		b.dispatchDue()
	}
}

// handleProbeAnswer learns from an answered probe: its delay, its load report and, for a cadence probe, the gap since the last
// answer.
func (b *Balancer) handleProbeAnswer(h *host, isCadenceProbe bool, sentAt float64, r Result) {
	b.probeRTTSeconds += probeRTTGain * (min(r.DelaySeconds, 2*b.probeRTTSeconds) - b.probeRTTSeconds)
	b.recordReport(h, sentAt, r.Report)
	if !isCadenceProbe {
		return
	}
	answeredAt := b.now - r.LateSeconds
	gap := (answeredAt - h.lastAnswerAt) / h.currentCadence
	switch {
	case gap > outageCadences:
		// The gap of an outage would inflate the mean and delay the next detection, so it is not learned. The host may have been
		// restarted, so it warms up again.
		h.recoveryStartedAt = b.now
		h.latencyRatio = 1
	case !h.hasAnswered:
		h.hasAnswered = true // the time from addMember to the first answer is not a gap between answers
	case b.silencePhi(h) <= phiUnavailable:
		h.gaps = append(h.gaps, float32(gap))
		if len(h.gaps) > gapWindowSize {
			h.gaps = h.gaps[1:]
		}
		h.updateGapStats()
		b.meanGap += meanGapGain * (gap - b.meanGap)
	}
	h.lastAnswerAt = answeredAt
	h.currentCadence = h.nextCadence
}

// ObserveStall records that the host program itself did not run for the given seconds until now, and subtracts that time from the
// silence of each member. Answers that this process could not read are no evidence against a host; otherwise a pause of this
// process would make all members suspect at once.
func (b *Balancer) ObserveStall(now, seconds float64) {
	b.now = now
	for _, h := range b.members {
		h.lastAnswerAt = min(h.lastAnswerAt+seconds, now)
	}
}

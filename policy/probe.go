package policy

import (
	"cmp"
	"math"
)

const (
	probeIntervalSeconds = 1.0   // cadence of the probes that feed phi
	probingProxies       = 4.0   // proxies that may all probe a host each second; two more cost a second
	probeJitterFraction  = 0.1   // part of the cadence by which probes are spread
	probeBudgetFraction  = 0.016 // what the probes of an own request may cost, in parts of its worth
	maxProbeStretch      = 6.0   // the cadence is stretched so many times at most where own requests are few
	outageCadences       = 2.5   // a silence of so many cadences may have been a restart
)

// enlist starts the watch over a member. A new window is seeded with the mean of the others'. Danger: all
// proxies that probe or connect at once push a new host over, so the first probe comes at random.
func (b *Balancer) addMember(h *host) {
	for len(h.gaps) < seedGaps {
		h.gaps = append(h.gaps, float32(b.meanGap))
	}
	h.updateGapStats()
	h.isMember, h.hasAnswered, h.lastAnswerAt, h.nextCadence = true, false, b.now, b.probeCadence()
	h.currentCadence = h.nextCadence
	h.concurrencyLimit = cmp.Or(h.concurrencyLimit, initialLimit/b.proxiesPerHost)
	h.nextProbeAt = b.now + b.rng.Float64()*h.currentCadence
	b.armWake(h.nextProbeAt)
}

// cadence is the time between two probes of a member. Danger: a crowd would probe more than it serves.
func (b *Balancer) probeCadence() float64 {
	most := maxProbeStretch - (maxProbeStretch-1)*min(4*b.usualQueueFraction, 1) // where probes wait, their news is needed
	few, dear := float64(len(b.members))/max(b.ownSendRate(), 1e-9), max(b.settings.ProbePrice/probeBudgetFraction, 2)
	return probeIntervalSeconds * max(min(max(0.5*few, 1), most), min((b.proxiesPerHost-probingProxies)/2, dear*few, maxProbeStretch))
}

// sendProbes sends the cadence probes that are due.
func (b *Balancer) sendProbes() {
	for i := 0; i < len(b.members) && b.settings.ProbesEnabled; i++ {
		h := b.members[i]
		if h.nextProbeAt <= b.now {
			b.actions.Probe(h.ID)
			h.probedAt = b.now
			h.nextCadence = b.probeCadence()
			h.nextProbeAt = b.now + h.nextCadence*(1+probeJitterFraction*(2*b.rng.Float64()-1))
		}
		b.armWake(h.nextProbeAt)
	}
}

// ProbeDone takes the result of a probe.
func (b *Balancer) ProbeDone(now float64, r Result) {
	b.now = now
	h := b.hosts[r.Host]
	if h == nil {
		return
	}
	sent := now - r.LateSeconds - r.DelaySeconds
	out := func(at float64) bool { return math.Abs(sent-at) <= b.settings.TickSeconds+1e-4 } // a tick's wait
	cadence := out(h.probedAt)
	if cadence {
		h.probedAt = 0
	}
	if out(h.polledAt) {
		h.polledAt = 0
	}
	if r.Outcome == OK || r.Outcome == Rejected {
		h.connFailures = 0
		b.handleProbeAnswer(h, cadence, sent, r)
	}
	b.learnQueueDelay(h, r.Outcome, r.DelaySeconds)
	if b.pollsReports {
		b.dispatchDue()
	}
}

func (b *Balancer) handleProbeAnswer(h *host, cadence bool, sent float64, r Result) {
	b.probeRTTSeconds += 0.05 * (min(r.DelaySeconds, 2*b.probeRTTSeconds) - b.probeRTTSeconds)
	b.recordReport(h, sent, r.Report)
	if !cadence {
		return
	}
	// Danger: an outage's gap would inflate the mean and slow the next verdict, and the host may be cold. The
	// gap is not learned; trust comes back as to a cold host.
	at := b.now - r.LateSeconds
	gap := (at - h.lastAnswerAt) / h.currentCadence
	switch {
	case gap > outageCadences:
		h.recoveryStartedAt, h.latencyRatio = b.now, 1
	case !h.hasAnswered:
		h.hasAnswered = true
	case b.silencePhi(h) <= phiUnavailable:
		if h.gaps = append(h.gaps, float32(gap)); len(h.gaps) > gapWindowSize {
			h.gaps = h.gaps[1:]
		}
		h.updateGapStats()
		b.meanGap += 0.02 * (gap - b.meanGap)
	}
	h.lastAnswerAt, h.currentCadence = at, h.nextCadence
}

// Stalled tells that the host program itself stood still for so long until now. Danger: silence that nobody
// listened to is no sign against a host; read as one, a pause of this program shuts out the whole fleet.
func (b *Balancer) ObserveStall(now, seconds float64) {
	b.now = now
	for _, h := range b.members {
		h.lastAnswerAt = min(h.lastAnswerAt+seconds, now)
	}
}

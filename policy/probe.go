package policy

import (
	"cmp"
	"math"
)

const (
	probeEvery = 1.0   // cadence of the probes that feed phi
	probePeers = 4.0   // proxies that may all probe a host each second; two more cost a second
	jitter     = 0.1   // part of the cadence by which probes are spread
	probeWorth = 0.016 // what the probes of an own request may cost, in parts of its worth
	slowest    = 6.0   // the cadence is stretched so many times at most where own requests are few
	outageGaps = 2.5   // a silence of so many cadences may have been a restart
)

// enlist starts the watch over a member. A new window is seeded with the mean of the others'. Danger: all
// proxies that probe or connect at once push a new host over, so the first probe comes at random.
func (b *Balancer) enlist(h *host) {
	for len(h.gaps) < seeded {
		h.gaps = append(h.gaps, float32(b.meanGap))
	}
	h.measure()
	h.member, h.met, h.answered, h.planned = true, false, b.now, b.cadence()
	h.every = h.planned
	h.limit = cmp.Or(h.limit, firstLine/b.peers)
	h.nextProbe = b.now + b.rng.Float64()*h.every
	b.due(h.nextProbe)
}

// cadence is the time between two probes of a member. Danger: a crowd would probe more than it serves.
func (b *Balancer) cadence() float64 {
	most := slowest - (slowest-1)*min(4*b.crowd, 1) // where probes wait, their news is needed
	few, dear := float64(len(b.members))/max(b.usualRate(), 1e-9), max(b.s.ProbePrice/probeWorth, 2)
	return probeEvery * max(min(max(0.5*few, 1), most), min((b.peers-probePeers)/2, dear*few, slowest))
}

// sendProbes sends the cadence probes that are due.
func (b *Balancer) sendProbes() {
	for i := 0; i < len(b.members) && b.s.ProbesEnabled; i++ {
		h := b.members[i]
		if h.nextProbe <= b.now {
			b.do.Probe(h.ID)
			h.probedAt = b.now
			h.planned = b.cadence()
			h.nextProbe = b.now + h.planned*(1+jitter*(2*b.rng.Float64()-1))
		}
		b.due(h.nextProbe)
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
	out := func(at float64) bool { return math.Abs(sent-at) <= b.s.TickSeconds+1e-4 } // a tick's wait
	cadence := out(h.probedAt)
	if cadence {
		h.probedAt = 0
	}
	if out(h.polledAt) {
		h.polledAt = 0
	}
	if r.Outcome == OK || r.Outcome == Rejected {
		h.refused = 0
		b.probeAnswered(h, cadence, sent, r)
	}
	b.learnLine(h, r.Outcome, r.DelaySeconds)
	if b.polls {
		b.pump()
	}
}

func (b *Balancer) probeAnswered(h *host, cadence bool, sent float64, r Result) {
	b.rtt += 0.05 * (min(r.DelaySeconds, 2*b.rtt) - b.rtt)
	b.takeReport(h, sent, r.Report)
	if !cadence {
		return
	}
	// Danger: an outage's gap would inflate the mean and slow the next verdict, and the host may be cold. The
	// gap is not learned; trust comes back as to a cold host.
	at := b.now - r.LateSeconds
	gap := (at - h.answered) / h.every
	switch {
	case gap > outageGaps:
		h.rampFrom, h.ratio = b.now, 1
	case !h.met:
		h.met = true
	case b.suspicion(h) <= phiOut:
		if h.gaps = append(h.gaps, float32(gap)); len(h.gaps) > window {
			h.gaps = h.gaps[1:]
		}
		h.measure()
		b.meanGap += 0.02 * (gap - b.meanGap)
	}
	h.answered, h.every = at, h.planned
}

// Stalled tells that the host program itself stood still for so long until now. Danger: silence that nobody
// listened to is no sign against a host; read as one, a pause of this program shuts out the whole fleet.
func (b *Balancer) ObserveStall(now, seconds float64) {
	b.now = now
	for _, h := range b.members {
		h.answered = min(h.answered+seconds, now)
	}
}

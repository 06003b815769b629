package policy

const (
	// pollSampleSize is how many random candidates are polled for new load reports before a pick. More candidates give better
	// picks and cost more probes.
	pollSampleSize = 4
	// pollTimeoutRTTs is the timeout of a poll in units of the usual probe delay.
	pollTimeoutRTTs = 4.0
	// Reported loads of maxReportedLoad or more are ignored as implausible.
	maxReportedLoad = 1e6
)

// recordReport stores a host's load report, unless it is older than the last one or its load is implausible. sentAt is the send
// time of the probe that brought it.
func (b *Balancer) recordReport(h *host, sentAt float64, report Report) {
	if b.loadField >= 0 && b.loadField < report.N && sentAt >= h.reportSentAt {
		load := float64(report.Values[b.loadField])
		if load >= 0 && load < maxReportedLoad {
			h.reportedLoad = load
			h.reportSentAt = sentAt
		}
	}
}

// pollTimeout returns for how many seconds answers to polls are awaited.
func (b *Balancer) pollTimeout() float64 {
	return max(pollTimeoutRTTs*b.probeRTTSeconds, 2*b.settings.TickSeconds)
}

// pollReports probes the candidates of a pick whose reports are old, and queues the request until they have answered.
func (b *Balancer) pollReports(r *request) {
	timeoutSeconds := b.pollTimeout()
	b.queue.schedule(r, b.now+timeoutSeconds)
	b.armWake(r.dispatchAt)
	if h := r.suspectHost; h != nil && h.polledAt == 0 {
		h.polledAt = b.now
		b.actions.Probe(h.ID)
	}
	remaining := pollSampleSize
	for i := 0; i < len(b.members) && remaining > 0; i++ { // a partial Fisher-Yates shuffle selects the sample
		j := i + b.rng.IntN(len(b.members)-i)
		b.members[i], b.members[j] = b.members[j], b.members[i]
		h := b.members[i]
		if !b.isCandidate(h) || !b.mayAttempt(r, h) {
			continue
		}
		if h.reportSentAt < b.now-timeoutSeconds/2 && h.polledAt == 0 {
			h.polledAt = b.now
			b.actions.Probe(h.ID)
		}
		remaining--
	}
}

// hasFreshReport returns whether a host's report is new enough to be compared with others.
func (b *Balancer) hasFreshReport(h *host) bool {
	return h.reportSentAt > 0 && b.now-h.reportSentAt <= 2*b.pollTimeout()
}

// estimatedLoad returns the estimated number of requests that a host holds: those of its last report plus the own attempts sent
// since, but at least all own attempts in flight.
func (b *Balancer) estimatedLoad(h *host) float64 {
	sentSince := len(h.inFlight)
	for sentSince > 0 && h.inFlight[len(h.inFlight)-sentSince].sentAt < h.reportSentAt {
		sentSince--
	}
	return max(h.reportedLoad+float64(sentSince), float64(len(h.inFlight)))
}

package policy

const (
	pollSampleSize  = 4   // candidates whose reports are refreshed for a pick
	pollTimeoutRTTs = 4.0 // a poll waits for this many usual probe answers
)

// takeReport keeps a host's load report if its figure makes sense.
func (b *Balancer) recordReport(h *host, sent float64, r Report) {
	if b.loadField >= 0 && b.loadField < r.N && sent >= h.reportSentAt {
		if v := float64(r.Values[b.loadField]); v >= 0 && v < 1e6 {
			h.reportedLoad, h.reportSentAt = v, sent
		}
	}
}

func (b *Balancer) pollTimeout() float64 {
	return max(pollTimeoutRTTs*b.probeRTTSeconds, 2*b.settings.TickSeconds)
}

// poll refreshes the reports of the candidates for a pick.
func (b *Balancer) pollReports(r *request) {
	wait, left := b.pollTimeout(), pollSampleSize
	b.queue.schedule(r, b.now+wait)
	b.armWake(r.dispatchAt)
	if h := r.suspectHost; h != nil && h.polledAt == 0 {
		h.polledAt = b.now
		b.actions.Probe(h.ID)
	}
	for i := 0; i < len(b.members) && left > 0; i++ { // a partial shuffle: its head is the draw
		j := i + b.rng.IntN(len(b.members)-i)
		b.members[i], b.members[j] = b.members[j], b.members[i]
		h := b.members[i]
		if !b.isCandidate(h) || !b.mayAttempt(r, h) {
			continue
		}
		if h.reportSentAt < b.now-wait/2 && h.polledAt == 0 {
			h.polledAt = b.now
			b.actions.Probe(h.ID)
		}
		left--
	}
}

func (b *Balancer) hasFreshReport(h *host) bool {
	return h.reportSentAt > 0 && b.now-h.reportSentAt <= 2*b.pollTimeout()
}

// load is the number of requests that a host is believed to hold.
func (b *Balancer) estimatedLoad(h *host) float64 {
	sent := len(h.inFlight) // since that report
	for ; sent > 0 && h.inFlight[len(h.inFlight)-sent].sentAt < h.reportSentAt; sent-- {
	}
	return max(h.reportedLoad+float64(sent), float64(len(h.inFlight)))
}

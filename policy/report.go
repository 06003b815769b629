package policy

const (
	drawn    = 4   // candidates whose reports are refreshed for a pick
	pollRTTs = 4.0 // a poll waits for this many usual probe answers
)

// takeReport keeps a host's load report if its figure makes sense.
func (b *Balancer) takeReport(h *host, sent float64, r Report) {
	if b.field >= 0 && b.field < r.N && sent >= h.seenAt {
		if v := float64(r.Values[b.field]); v >= 0 && v < 1e6 {
			h.reported, h.seenAt = v, sent
		}
	}
}

func (b *Balancer) pollWait() float64 { return max(pollRTTs*b.rtt, 2*b.s.TickSeconds) }

// poll refreshes the reports of the candidates for a pick.
func (b *Balancer) poll(r *request) {
	wait, left := b.pollWait(), drawn
	b.queue.put(r, b.now+wait)
	b.due(r.decideAt)
	if h := r.suspect; h != nil && h.polledAt == 0 {
		h.polledAt = b.now
		b.do.Probe(h.ID)
	}
	for i := 0; i < len(b.members) && left > 0; i++ { // a partial shuffle: its head is the draw
		j := i + b.rng.IntN(len(b.members)-i)
		b.members[i], b.members[j] = b.members[j], b.members[i]
		h := b.members[i]
		if !b.candidate(h) || !b.allowed(r, h) {
			continue
		}
		if h.seenAt < b.now-wait/2 && h.polledAt == 0 {
			h.polledAt = b.now
			b.do.Probe(h.ID)
		}
		left--
	}
}

func (b *Balancer) fresh(h *host) bool { return h.seenAt > 0 && b.now-h.seenAt <= 2*b.pollWait() }

// load is the number of requests that a host is believed to hold.
func (b *Balancer) load(h *host) float64 {
	sent := len(h.outs) // since that report
	for ; sent > 0 && h.outs[len(h.outs)-sent].sentAt < h.seenAt; sent-- {
	}
	return max(h.reported+float64(sent), float64(len(h.outs)))
}

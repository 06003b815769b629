package policy

// QueueLength returns how many requests wait for a host.
func (b *Balancer) QueueLength() int { return b.queue.len() }

// UsableHosts returns how many members take new requests and are available, each by its own suspicion level.
func (b *Balancer) UsableHosts(now float64) (n int) {
	view := b.viewAt(now)
	for _, h := range b.members {
		if !h.isWithdrawn && view.suspicion(h) <= phiUnavailable {
			n++
		}
	}
	return n
}

// Ejected returns a function that reports whether a host is a member without traffic at the given time, as it is withdrawn or
// unavailable. The function is valid until the next event.
func (b *Balancer) Ejected(now float64) func(id uint32) bool {
	view := b.viewAt(now)
	return func(id uint32) bool {
		h := b.hosts[id]
		return h != nil && h.isMember && (h.isWithdrawn || view.suspicion(h) > phiUnavailable)
	}
}

// viewAt returns a shallow copy at another time. Danger: a query must not move the clock by which the next event is judged.
func (b *Balancer) viewAt(now float64) *Balancer {
	view := *b
	view.now = now
	return &view
}

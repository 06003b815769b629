package policy

// QueueLength returns how many requests wait for a host.
func (b *Balancer) QueueLength() int { return b.queue.len() }

// UsableHosts returns how many members take new requests and are available. Each is judged by its own suspicion level, without
// the discount that is made when most members are silent.
func (b *Balancer) UsableHosts(now float64) (n int) {
	view := b.viewAt(now)
	for _, h := range b.members {
		if !h.isWithdrawn && view.suspicion(h) <= phiUnavailable {
			n++
		}
	}
	return n
}

// Ejected returns a function that reports whether a host is a member that gets no traffic at the given time because it is
// withdrawn or unavailable. The function is valid until the next event.
func (b *Balancer) Ejected(now float64) func(id uint32) bool {
	view := b.viewAt(now)
	return func(id uint32) bool {
		h := b.hosts[id]
		return h != nil && h.isMember && (h.isWithdrawn || view.suspicion(h) > phiUnavailable)
	}
}

// viewAt returns a shallow copy of the Balancer whose clock shows another time: a query must not change the clock that the next
// event relies on.
func (b *Balancer) viewAt(now float64) *Balancer {
	view := *b
	view.now = now
	return &view
}

package policy

// Waiting returns how many requests no host could take so far.
func (b *Balancer) QueueLength() int { return b.queue.len() }

// Usable returns how many members may be sent something new and are not taken for dead, each for itself.
func (b *Balancer) UsableHosts(now float64) (n int) {
	view := *b // Danger: what is asked must not move the clock by which the next event is judged
	view.now = now
	for _, h := range b.members {
		if !h.isWithdrawn && view.suspicion(h) <= phiUnavailable {
			n++
		}
	}
	return n
}

// Avoided returns a test of whether a host is a member that gets no traffic now, since its silence or its refusals say too much
// against it.
func (b *Balancer) Ejected(now float64) func(id uint32) bool {
	view := *b // Danger: what is asked must not move the clock by which the next event is judged
	view.now = now
	return func(id uint32) bool {
		h := b.hosts[id]
		return h != nil && h.isMember && (h.isWithdrawn || view.suspicion(h) > phiUnavailable)
	}
}

package policy

// soonestAsk is the part of a wait for the list that is always waited.
const soonestAsk = 0.2

// Place tells this proxy that it is the one of a number among so many. Until it is called the settings say so.
func (b *Balancer) Place(now float64, self, replicas int) {
	b.now, b.placed = now, true
	b.s.Self, b.s.Replicas = self, max(replicas, 1)
	if b.s.AskForList && !b.watching && b.askWait > 0 { // the wait that goes on was one by the settings' number
		b.askAt = min(b.askAt, now+b.askTurn())
		b.due(b.askAt)
	}
	b.subset()
	b.pump()
}

// askTurn returns the wait until the list is asked for again after a failure, at most askWait. Proxies ask in the order of
// their numbers, so that together they ask evenly whatever the size of the fleet.
func (b *Balancer) askTurn() float64 {
	turn := (float64(place(b.s.Self, b.s.Replicas)) + b.rng.Float64()) / float64(max(b.s.Replicas, 1))
	return b.askWait * (soonestAsk + (1-soonestAsk)*turn)
}

// run is the part of a ring of n hosts that this proxy takes. Danger: others' word moves the part and may make it smaller, but
// it never takes more than half of what the settings give; a count that is wrong or a lie must not leave too few.
func (b *Balancer) run(n int) (from, size int) {
	from, size = Subset(n, b.s.Self, b.s.Replicas, b.need)
	_, own := Subset(n, 0, b.told, b.need)
	return from, max(size, (own+1)/2)
}

// Subset returns the first place and the number of the members that proxy self of replicas takes from a ring
// of n hosts: need, and more the more hosts there are for each proxy. Every host gets two proxies at least.
func Subset(n, self, replicas int, need float64) (from, size int) {
	replicas, self = max(replicas, 1), max(self, 0)%max(replicas, 1)
	size = min(n, max(int(min(need, 1e6)+6*float64(n)/float64(replicas)), 2*((n+replicas-1)/replicas)))
	return place(self, replicas) * n / replicas, size
}

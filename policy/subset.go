package policy

import "math"

const (
	minSubsetHosts = 4 // members of a proxy without traffic, beyond its part of the fleet
)

// resize follows own traffic: a busy proxy needs more members, or it fills the few that it has.
func (b *Balancer) resizeSubset() {
	if need := minSubsetHosts + 2*b.ownSendRate()*min(b.tightestTargetSeconds, 10); need < 0.6*b.wantedMembers || need > 1.3*b.wantedMembers {
		b.wantedMembers = need
		b.chooseSubset()
	}
}

// subset takes the members: a run of the ring of hosts from this proxy's own place on, so that the proxies
// cover every host about equally. A host that is listed gone stays while it answers.
func (b *Balancer) chooseSubset() {
	ring := make([]*host, 0, len(b.sortedHosts))
	for _, h := range b.sortedHosts {
		if !h.isWithdrawn && (h.State != Gone || h.isMember && h.phi < phiUnavailable && (h.hasAnswered || !b.settings.ProbesEnabled)) {
			ring = append(ring, h)
		}
	}
	from, size := b.subsetRange(len(ring))
	b.proxiesPerHost = max(float64(size*b.settings.Replicas)/float64(max(len(ring), 1)), 1)
	for _, h := range b.members {
		h.isMember, h.wasMember = false, true
	}
	old := b.members
	b.members = make([]*host, 0, size)
	// Danger: while many hosts are cold, a subset of the usual size has too few that can carry its load. The
	// run goes on until enough of it is warm; this holds in releases, enlargements and after a lost zone.
	for i := 0; i < len(ring) && size > 0; i++ {
		h := ring[(from+i)%len(ring)]
		if b.members = append(b.members, h); h.wasMember {
			h.isMember = true
		} else {
			b.addMember(h)
		}
		if b.capacityFraction(h) >= 1 {
			size--
		}
	}
	for _, h := range old {
		h.wasMember = false
	}
	b.groupMembers()
}

// Place tells this proxy that it is the one of a number among so many. Until it is called the settings say so.
func (b *Balancer) SetReplica(now float64, self, replicas int) {
	b.now, b.isReplicaSet = now, true
	b.settings.Self, b.settings.Replicas = self, max(replicas, 1)
	if b.settings.ListOnDemand && !b.isWatching && b.listBackoffSeconds > 0 { // the wait that goes on was one by the settings' number
		b.listRequestAt = min(b.listRequestAt, now+b.listBackoffDelay())
		b.armWake(b.listRequestAt)
	}
	b.chooseSubset()
	b.dispatchDue()
}

// run is the part of a ring of n hosts that this proxy takes. Danger: others' word moves the part and may make it smaller, but
// it never takes more than half of what the settings give; a count that is wrong or a lie must not leave too few.
func (b *Balancer) subsetRange(n int) (from, size int) {
	from, size = Subset(n, b.settings.Self, b.settings.Replicas, b.wantedMembers)
	_, own := Subset(n, 0, b.configuredReplicas, b.wantedMembers)
	return from, max(size, (own+1)/2)
}

// Subset returns the first place and the number of the members that proxy self of replicas takes from a ring
// of n hosts: need, and more the more hosts there are for each proxy. Every host gets two proxies at least.
func Subset(n, self, replicas int, need float64) (from, size int) {
	replicas, self = max(replicas, 1), max(self, 0)%max(replicas, 1)
	size = min(n, max(int(min(need, 1e6)+6*float64(n)/float64(replicas)), 2*((n+replicas-1)/replicas)))
	return spreadIndex(self, replicas) * n / replicas, size
}

// place spreads proxies evenly over as many places, whatever part of them there is. Danger: numbers taken as they come put all
// proxies of a fleet that is smaller than it was told before the same few hosts.
func spreadIndex(self, replicas int) int {
	step := int(float64(replicas) * (math.Phi - 1))
	for step = max(step, 1); gcd(step, replicas) != 1; step-- {
	}
	return self % replicas * step % replicas
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

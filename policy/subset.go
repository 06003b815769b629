package policy

import "math"

const (
	// minSubsetHosts is the number of members that a proxy without traffic wants.
	minSubsetHosts = 4
	// maxSubsetTargetSeconds bounds the latency target by which traffic enlarges the subset.
	maxSubsetTargetSeconds = 10
	// hostsPerProxyFactor enlarges the subset with the number of hosts for each proxy: a subset has at least so many times it.
	hostsPerProxyFactor = 6
	// minProxiesPerHost is how many proxies have each host in their subsets at least.
	minProxiesPerHost = 2
)

// resizeSubset follows the proxy's own traffic: a busy proxy needs more members, or it would fill its few. Hysteresis from 0.6
// to 1.3 of the present size keeps the subset stable.
func (b *Balancer) resizeSubset() {
	need := minSubsetHosts + 2*b.ownSendRate()*min(b.tightestTargetSeconds, maxSubsetTargetSeconds)
	if need < 0.6*b.wantedMembers || need > 1.3*b.wantedMembers {
		b.wantedMembers = need
		b.chooseSubset()
	}
}

// chooseSubset sets the members by deterministic subsetting: a run of the ring of usable hosts, by ID, that starts at this
// proxy's position, so that together the proxies cover every host about equally. A host that is listed as gone stays a member
// while it answers, where GoneHostsUsable allows that.
func (b *Balancer) chooseSubset() {
	ring := make([]*host, 0, len(b.sortedHosts))
	for _, h := range b.sortedHosts {
		answers := h.isMember && h.phi < phiUnavailable && (h.hasAnswered || !b.settings.ProbesEnabled)
		if !h.isWithdrawn && (h.State != Gone || answers) {
			ring = append(ring, h)
		}
	}
	from, size := b.subsetRange(len(ring))
	b.proxiesPerHost = max(float64(size*b.settings.Replicas)/float64(max(len(ring), 1)), 1)
	old := b.members
	for _, h := range old {
		h.isMember = false
		h.wasMember = true
	}
	b.members = make([]*host, 0, size)
	// Danger: while many hosts warm up, a subset of the usual size lacks the capacity for its load. The run therefore goes on
	// until size warm hosts are in it; this matters in releases, enlargements and after a lost zone.
	for i := 0; i < len(ring) && size > 0; i++ {
		h := ring[(from+i)%len(ring)]
		b.members = append(b.members, h)
		if h.wasMember {
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

// SetReplica sets this proxy's index among the present number of replicas, as membership knows it. Until the first call
// Settings.Self and Settings.Replicas hold.
func (b *Balancer) SetReplica(now float64, self, replicas int) {
	b.now = now
	b.isReplicaSet = true
	b.settings.Self = self
	b.settings.Replicas = max(replicas, 1)
	// A backoff that runs was drawn for the old index; the slot of the new one may be sooner.
	if b.settings.ListOnDemand && !b.isWatching && b.listBackoffSeconds > 0 {
		b.listRequestAt = min(b.listRequestAt, now+b.listBackoffDelay())
		b.armWake(b.listRequestAt)
	}
	b.chooseSubset()
	b.dispatchDue()
}

// subsetRange returns the run of a ring of n hosts that this proxy uses. Danger: the replica count of SetReplica comes from
// other processes and may be wrong. It moves the run, but the run never has less than half of the size that the configured
// count gives.
func (b *Balancer) subsetRange(n int) (from, size int) {
	from, size = Subset(n, b.settings.Self, b.settings.Replicas, b.wantedMembers)
	_, configuredSize := Subset(n, 0, b.configuredReplicas, b.wantedMembers)
	return from, max(size, (configuredSize+1)/2)
}

// Subset returns the first position and the number of the hosts that replica self of replicas uses from a ring of n hosts: need
// hosts, and more the more hosts there are for each replica. Every host is used by two replicas at least.
func Subset(n, self, replicas int, need float64) (from, size int) {
	replicas = max(replicas, 1)
	self = max(self, 0) % replicas
	size = min(n, max(int(min(need, 1e6)+hostsPerProxyFactor*float64(n)/float64(replicas)), minProxiesPerHost*((n+replicas-1)/replicas)))
	return spreadIndex(self, replicas) * n / replicas, size
}

// spreadIndex permutes the replica indices by steps of the golden ratio, so that any first part of them is spread evenly over
// all positions. Danger: without it, all proxies of a fleet that is smaller than configured would use the same few hosts.
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

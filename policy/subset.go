package policy

import "math"

const (
	// minSubsetHosts is the number of members that a proxy without traffic needs.
	minSubsetHosts = 4
	// maxSubsetTargetSeconds bounds the latency target in the formula by which traffic enlarges the subset.
	maxSubsetTargetSeconds = 10
	// hostsPerProxyFactor, times the number of hosts for each proxy, is added to the size of the subset.
	hostsPerProxyFactor = 6
	// minProxiesPerHost is the least number of proxies that have a given host in their subsets.
	minProxiesPerHost = 2
)

// resizeSubset adapts the size of the subset to the proxy's own traffic: a busy proxy would overload a few members. To keep the
// subset stable, a size is kept while the needed one is between 0.6 and 1.3 times as large.
func (b *Balancer) resizeSubset() {
	need := minSubsetHosts + 2*b.ownSendRate()*min(b.tightestTargetSeconds, maxSubsetTargetSeconds)
	if need < 0.6*b.wantedMembers || need > 1.3*b.wantedMembers {
		b.wantedMembers = need
		b.chooseSubset()
	}
}

// chooseSubset sets the members by deterministic subsetting: the usable hosts form a ring, sorted by ID, and the members are a
// consecutive part of it that starts at this proxy's position, so that the proxies together cover every host about equally. Where
// GoneHostsUsable allows it, a member that is listed as gone stays one while it answers.
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
	// While many hosts warm up, a subset of the usual size lacks capacity for its load, so it is extended until it has size warm
	// hosts. This matters in releases, when a fleet is enlarged and after the loss of a zone.
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

// SetReplica sets this proxy's index and the current number of replicas, as known from the membership. Until the first call,
// Settings.Self and Settings.Replicas apply.
func (b *Balancer) SetReplica(now float64, self, replicas int) {
	b.now = now
	b.isReplicaSet = true
	b.settings.Self = self
	b.settings.Replicas = max(replicas, 1)
	// The current backoff was computed for the old index; the slot of the new one may come sooner.
	if b.settings.ListOnDemand && !b.isWatching && b.listBackoffSeconds > 0 {
		b.listRequestAt = min(b.listRequestAt, now+b.listBackoffDelay())
		b.armWake(b.listRequestAt)
	}
	b.chooseSubset()
	b.dispatchDue()
}

// subsetRange returns the part of a ring of n hosts that this proxy uses. The replica count given to SetReplica comes from other
// processes and may be wrong. It may move the part, but the part always has at least half of the size that the configured count
// gives.
func (b *Balancer) subsetRange(n int) (from, size int) {
	from, size = Subset(n, b.settings.Self, b.settings.Replicas, b.wantedMembers)
	_, configuredSize := Subset(n, 0, b.configuredReplicas, b.wantedMembers)
	return from, max(size, (configuredSize+1)/2)
}

// Subset returns the first position and the number of the hosts that replica self of replicas uses from a ring of n hosts: need
// hosts, plus a number that grows with the hosts for each replica. Every host is used by at least two replicas.
func Subset(n, self, replicas int, need float64) (from, size int) {
	replicas = max(replicas, 1)
	self = max(self, 0) % replicas
	size = min(n, max(int(min(need, 1e6)+hostsPerProxyFactor*float64(n)/float64(replicas)), minProxiesPerHost*((n+replicas-1)/replicas)))
	return spreadIndex(self, replicas) * n / replicas, size
}

// spreadIndex permutes the replica indices by steps of the golden ratio, so that the first k indices are spread evenly over all
// positions, for any k. Otherwise all proxies of a fleet that is smaller than configured would use the same few hosts.
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

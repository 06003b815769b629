package placement

import (
	"math"

	"hazelwheel/internal/message"
	"hazelwheel/policy"
)

const (
	// minSubset and minPrefillSubset are the least numbers of servers in a subset, if there are that many. Subsets of prefill
	// servers are larger, since a prefix that is cached at a server is of use only to proxies that have the server in their
	// subsets.
	minSubset        = 6
	minPrefillSubset = 64
	// memberFraction is the fraction of a server's connections that may be used by all proxies with the server in their subsets. A
	// server keeps the connections of processes that lost power until they time out. It must have room for these and for the
	// connections of the restarted processes; otherwise it resets connections, and a request that is not idempotent can't be
	// retried.
	memberFraction = 0.5
	// minMembers is the least size of a subset, regardless of the connection limit.
	minMembers = 3
)

// updateSubset computes the subset from the proxy's rank, for each stage separately.
func (p *Pool) updateSubset() {
	for _, member := range p.members {
		member.isMember = false
	}
	p.members = p.members[:0]
	for _, stage := range []message.Stage{"", message.Prefill, message.Decode} {
		var ring []*Endpoint
		for _, id := range p.ids {
			if endpoint := p.endpoints[id]; endpoint.Stage == stage && !endpoint.Draining && !endpoint.stageChange.isActive {
				ring = append(ring, endpoint)
			}
		}
		if len(ring) == 0 {
			continue
		}
		minServers := float64(minSubset)
		if stage == message.Prefill {
			minServers = minPrefillSubset
		}
		from, size := policy.Subset(len(ring), p.rank, p.proxyCount, min(minServers, p.maxMembers(len(ring))))
		for i := range size {
			member := ring[(from+i)%len(ring)]
			member.isMember = true
			p.members = append(p.members, member)
		}
	}
}

// maxMembers returns the largest subset of the given number of servers that the connection limit allows.
func (p *Pool) maxMembers(servers int) float64 {
	if p.serverConnections <= 0 {
		return float64(servers)
	}
	return max(math.Floor(memberFraction*float64(p.serverConnections*servers)/float64(max(p.proxyCount, 1))), minMembers)
}

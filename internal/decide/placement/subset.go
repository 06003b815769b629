package placement

import (
	"math"

	"hazelwheel/internal/message"
	"hazelwheel/policy"
)

const (
	// minSubset and minPrefillSubset are the least numbers of servers in a subset, where there are as many. Of prefill servers
	// there are more: a prefix that is cached at one server is found there only by proxies that have it in their subset.
	minSubset        = 6
	minPrefillSubset = 64
	// memberFraction is the fraction of a server's connections that proxies with the server in their subset may use. Danger: a
	// server keeps the connections of processes that lost power until they time out. Those and the connections of the restarted
	// processes must fit, or the server resets connections, and a request that is not idempotent can't be retried.
	memberFraction = 0.5
	// minMembers is the least size of a subset, whatever the connections.
	minMembers = 3
)

// updateSubset derives the subset from the proxy's rank, for each stage separately.
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

// maxMembers returns the bound that connections set to the subset of a number of servers.
func (p *Pool) maxMembers(servers int) float64 {
	if p.serverConnections <= 0 {
		return float64(servers)
	}
	return max(math.Floor(memberFraction*float64(p.serverConnections*servers)/float64(max(p.proxyCount, 1))), minMembers)
}

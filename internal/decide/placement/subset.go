package placement

import (
	"math"

	"hazelwheel/internal/message"
	"hazelwheel/policy"
)

const (
	// minSubset is the number of servers that each proxy takes at least, where there are so many. Of those that read prompts it is
	// more: openings that are held at one server are found there only by proxies that have it in their subset.
	minSubset        = 6
	minPrefillSubset = 64
	// memberFraction is the part of a server's connections for which there are proxies with the server in their subset. Danger: a server keeps
	// the connections of processes that lost power until they have rested for too long. Those and the ones of the processes that come back
	// must fit, or it resets what is sent meanwhile, and a request that may run once can't be sent again.
	memberFraction = 0.5
	// minMembers is the number of servers that a proxy has all the same.
	minMembers = 3
)

// updateSubset takes an even part of the servers by the proxy's number, of each stage by itself.
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

// maxMembers bounds a proxy's part of so many servers by their connections.
func (p *Pool) maxMembers(servers int) float64 {
	if p.serverConnections <= 0 {
		return float64(servers)
	}
	return max(math.Floor(memberFraction*float64(p.serverConnections*servers)/float64(max(p.proxyCount, 1))), minMembers)
}

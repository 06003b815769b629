package placement

import (
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// connectionFraction is the part of a service's connections that all proxies together use.
	connectionFraction = 0.8
	// readmissionSeconds is for how long an instance that left the list is not taken back from an older reading, in seconds.
	readmissionSeconds = 10.0
)

// Pool holds the servers of one service.
type Pool struct {
	Service string
	Zone    string // of the proxy
	Engine  Engine
	Budget  RetryBudget

	rng               *rand.Rand
	endpoints         map[string]*Endpoint
	ids               []string // in order
	members           []*Endpoint
	removedAt         map[string]float64 // when instances left the list
	rank, proxyCount  int
	maxConnections    int // connections of this proxy to one server
	serverConnections int // that a server takes from all callers, 0: not known
}

// NewPool returns a pool without servers.
func NewPool(service, zone string, budget RetryBudget, rng *rand.Rand) *Pool {
	return &Pool{Service: service, Zone: zone, Budget: budget, rng: rng, endpoints: map[string]*Endpoint{}, removedAt: map[string]float64{}, proxyCount: 1}
}

// SetRank tells the proxy's number among so many.
func (p *Pool) SetRank(rank, count int) {
	if count > 0 && (rank != p.rank || count != p.proxyCount) {
		p.rank, p.proxyCount = rank, count
		p.updateSubset()
	}
}

// ProxyCount returns the number of proxies that is known of.
func (p *Pool) ProxyCount() int { return p.proxyCount }

// SetMaxConnections tells how many connections a server takes from all callers together.
func (p *Pool) SetMaxConnections(connections int) {
	if connections != p.serverConnections {
		p.serverConnections = connections
		p.updateSubset()
	}
	p.maxConnections = max(int(connectionFraction*float64(connections))/max(p.proxyCount, 1), 2)
	if connections <= 0 {
		p.maxConnections = 1 << 20
	}
}

// HasFewConnections tells whether two connections of each proxy would be more than a server takes: those of processes that have lost power
// may still be there beside the ones of the processes that came back.
func (p *Pool) HasFewConnections() bool {
	return p.serverConnections > 0 && 2*p.proxyCount >= p.serverConnections
}

// UpdateInstances takes a reading of the list. Draining never ends but by leaving, and who has left does not come back.
func (p *Pool) UpdateInstances(now float64, instances []message.Instance) {
	for id, at := range p.removedAt {
		if now-at > readmissionSeconds {
			delete(p.removedAt, id)
		}
	}
	listed := map[string]bool{}
	for i := range instances {
		if instances[i].Service == p.Service {
			listed[instances[i].ID] = true
			p.updateEndpoint(now, &instances[i])
		}
	}
	for id := range p.endpoints {
		if !listed[id] {
			delete(p.endpoints, id)
			p.removedAt[id] = now
		}
	}
	p.ids = p.ids[:0]
	for id := range p.endpoints {
		p.ids = append(p.ids, id)
	}
	slices.Sort(p.ids)
	p.updateSubset()
}

func (p *Pool) updateEndpoint(now float64, listed *message.Instance) {
	if _, left := p.removedAt[listed.ID]; left {
		return
	}
	known := p.endpoints[listed.ID]
	if known == nil {
		known = &Endpoint{loadKey: message.InstanceKey(listed.ID)}
		known.probeGaps.seed(now, p.meanGap())
		known.nextProbeAt = now + p.rng.Float64()*ProbeIntervalSeconds
		p.endpoints[listed.ID] = known
	}
	draining := known.Draining || listed.Draining
	known.Instance = *listed
	known.Draining = draining
}

// meanGap is the mean of all windows.
func (p *Pool) meanGap() float64 {
	if len(p.endpoints) == 0 {
		return ProbeIntervalSeconds
	}
	sum := 0.0
	for _, endpoint := range p.endpoints {
		sum += endpoint.probeGaps.mean()
	}
	return sum / float64(len(p.endpoints))
}

// CanReadmit tells whether an instance that was taken to be gone for long enough could come back with the next Update.
func (p *Pool) CanReadmit(now float64) bool {
	for _, at := range p.removedAt {
		if now-at > readmissionSeconds {
			return true
		}
	}
	return false
}

// DueProbes returns the members to probe now.
func (p *Pool) DueProbes(now float64) (due []*Endpoint) {
	for _, e := range p.members {
		if !e.isProbing && now >= e.nextProbeAt {
			e.isProbing = true
			e.nextProbeAt = now + ProbeIntervalSeconds
			due = append(due, e)
		}
	}
	return due
}

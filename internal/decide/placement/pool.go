package placement

import (
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// connectionFraction is the fraction of a server's connections that all proxies together may use.
	connectionFraction = 0.8
	// readmissionSeconds is for how long an instance that has left the list is not readmitted, since an older version of the list
	// may arrive late.
	readmissionSeconds = 10.0
	// unlimitedConnections is the connection limit for services whose limit is unknown.
	unlimitedConnections = 1 << 20
)

// Pool holds the servers of one service as one proxy knows them.
type Pool struct {
	Service string
	Zone    string // zone of the proxy
	Engine  Engine
	Budget  RetryBudget

	rng               *rand.Rand
	endpoints         map[string]*Endpoint // by instance
	ids               []string             // sorted keys of endpoints
	members           []*Endpoint          // the proxy's subset
	removedAt         map[string]float64   // by instance: when it left the list
	rank, proxyCount  int                  // rank of this proxy, and number of proxies
	maxConnections    int                  // number that this proxy may open to one server
	serverConnections int                  // number that one server accepts from all callers; 0 if unknown
}

// NewPool returns a pool without servers for a proxy in a zone. All random numbers come from rng.
func NewPool(service, zone string, budget RetryBudget, rng *rand.Rand) *Pool {
	return &Pool{Service: service, Zone: zone, Budget: budget, rng: rng, endpoints: map[string]*Endpoint{}, removedAt: map[string]float64{}, proxyCount: 1}
}

// SetRank sets the rank of this proxy among all proxies, and their number.
func (p *Pool) SetRank(rank, count int) {
	if count > 0 && (rank != p.rank || count != p.proxyCount) {
		p.rank, p.proxyCount = rank, count
		p.updateSubset()
	}
}

// ProxyCount returns the number of proxies.
func (p *Pool) ProxyCount() int { return p.proxyCount }

// SetMaxConnections sets the number of connections that one server accepts from all callers together; 0 if unknown.
func (p *Pool) SetMaxConnections(connections int) {
	if connections != p.serverConnections {
		p.serverConnections = connections
		p.updateSubset()
	}
	p.maxConnections = max(int(connectionFraction*float64(connections))/max(p.proxyCount, 1), 2)
	if connections <= 0 {
		p.maxConnections = unlimitedConnections
	}
}

// HasFewConnections reports whether a server can't accept two connections from each proxy. Two are needed because, after a power
// failure, a server may still hold the connections of the old processes beside those of the restarted ones.
func (p *Pool) HasFewConnections() bool {
	return p.serverConnections > 0 && 2*p.proxyCount >= p.serverConnections
}

// UpdateInstances applies a version of the list of servers. A draining server stays so until it leaves the list, and one that has
// left the list is not readmitted for readmissionSeconds. The caller must call ApplyStagePlan afterwards.
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

// updateEndpoint applies a list entry.
func (p *Pool) updateEndpoint(now float64, listed *message.Instance) {
	if _, isRemoved := p.removedAt[listed.ID]; isRemoved {
		return
	}
	known := p.endpoints[listed.ID]
	if known == nil {
		known = &Endpoint{loadKey: message.InstanceKey(listed.ID)}
		known.probeGaps.seed(now, p.meanGap())
		known.nextProbeAt = now + p.rng.Float64()*ProbeIntervalSeconds
		p.endpoints[listed.ID] = known
	}
	isDraining := known.Draining || listed.Draining
	known.Instance = *listed
	known.Draining = isDraining
}

// meanGap returns the mean gap between probe replies of all servers.
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

// CanReadmit reports whether an instance could be readmitted by calling UpdateInstances again with the last list.
func (p *Pool) CanReadmit(now float64) bool {
	for _, at := range p.removedAt {
		if now-at > readmissionSeconds {
			return true
		}
	}
	return false
}

// DueProbes returns the members to be probed now. The caller reports each result to Endpoint.RecordProbe.
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

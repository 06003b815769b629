package placement

import (
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// connectionFraction is the fraction of a server's connections that all proxies together use.
	connectionFraction = 0.8
	// readmissionSeconds is how long an instance that has left the list is not readmitted, since an older reading of the list
	// may arrive later.
	readmissionSeconds = 10.0
	// unlimitedConnections is the limit for services whose limit is unknown.
	unlimitedConnections = 1 << 20
)

// Pool holds the servers of one service as one proxy knows them.
type Pool struct {
	Service string
	Zone    string // of the proxy
	Engine  Engine
	Budget  RetryBudget

	rng               *rand.Rand
	endpoints         map[string]*Endpoint // by instance
	ids               []string             // of endpoints, sorted
	members           []*Endpoint          // the subset
	removedAt         map[string]float64   // when instances have left the list
	rank, proxyCount  int                  // of this proxy, and of all
	maxConnections    int                  // that this proxy may use to one server
	serverConnections int                  // that one server takes from all callers, 0: unknown
}

// NewPool returns a pool without servers for a proxy in a zone. It draws all random numbers from rng.
func NewPool(service, zone string, budget RetryBudget, rng *rand.Rand) *Pool {
	return &Pool{Service: service, Zone: zone, Budget: budget, rng: rng, endpoints: map[string]*Endpoint{}, removedAt: map[string]float64{}, proxyCount: 1}
}

// SetRank sets the rank of this proxy among the proxies, and their number.
func (p *Pool) SetRank(rank, count int) {
	if count > 0 && (rank != p.rank || count != p.proxyCount) {
		p.rank, p.proxyCount = rank, count
		p.updateSubset()
	}
}

// ProxyCount returns the number of proxies.
func (p *Pool) ProxyCount() int { return p.proxyCount }

// SetMaxConnections sets the number of connections that one server takes from all callers together, 0 if unknown.
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

// HasFewConnections reports whether a server could not take two connections of each proxy. It may still hold those of processes
// that have lost power beside the connections of the restarted processes.
func (p *Pool) HasFewConnections() bool {
	return p.serverConnections > 0 && 2*p.proxyCount >= p.serverConnections
}

// UpdateInstances adopts a reading of the list. A server that drains does so until it leaves the list, and one that has left
// is not readmitted for readmissionSeconds. The caller calls ApplyStagePlan after it.
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

// updateEndpoint adopts a listed instance.
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

// CanReadmit reports whether an instance could be readmitted by calling UpdateInstances with the last reading again.
func (p *Pool) CanReadmit(now float64) bool {
	for _, at := range p.removedAt {
		if now-at > readmissionSeconds {
			return true
		}
	}
	return false
}

// DueProbes returns the members to probe now. The host reports each result to Endpoint.RecordProbe.
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

package placement

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"hazelwheel/internal/message"
	"hazelwheel/policy"
)

const (
	// minSubset is the number of servers that each proxy takes at least, where there are so many. Of those that read prompts it is
	// more: openings that are held at one server are found there only by proxies that have it in their subset.
	minSubset        = 6
	minPrefillSubset = 64
	// firstEjectionSeconds and coolMost bound how long a server that fails requests gets none, in seconds. It doubles from failure to failure.
	firstEjectionSeconds = 0.4
	maxEjectionSeconds   = 6.0
	// ejectionFailures is the number of failures in a row after which it does.
	ejectionFailures = 2
	// connectionFraction is the part of a service's connections that all proxies together use.
	connectionFraction = 0.8
	// memberFraction is the part of a server's connections for which there are proxies with the server in their subset. Danger: a server keeps
	// the connections of processes that lost power until they have rested for too long. Those and the ones of the processes that come back
	// must fit, or it resets what is sent meanwhile, and a request that may run once can't be sent again.
	memberFraction = 0.5
	// minMembers is the number of servers that a proxy has all the same.
	minMembers = 3
	// maxOutsideServers bounds the servers outside a proxy's part that are looked at for one request.
	maxOutsideServers = 256
	// readmissionSeconds is for how long an instance that left the list is not taken back from an older reading, in seconds.
	readmissionSeconds = 10.0
)

// Endpoint is a server as one proxy knows it.
type Endpoint struct {
	message.Instance
	InFlight int // own requests

	loadKey         uint32 // in loads
	isMember        bool   // of the proxy's part
	probeGaps       gapWindow
	nextProbeAt     float64
	isProbing       bool
	failures        int
	ejectedUntil    float64
	isWrongInstance bool // another instance answered at the address, and this one has not since
	stageChange     stageChange
	engine          engineState
}

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

// isUsable tells whether an endpoint may get a request, but for its suspicion.
func (p *Pool) isUsable(e *Endpoint, now float64) bool {
	return !e.Draining && !e.isWrongInstance && !e.stageChange.isActive && now >= e.ejectedUntil && (p.maxConnections == 0 || e.InFlight < p.maxConnections)
}

// Status counts the servers of a pool, and its members by why they are not chosen now. A member counts once, by the first reason
// that holds.
type Status struct {
	Listed        int
	Draining      int // of those listed
	Switching     int // of those listed: they are changing their stage
	Members       int // of the proxy's subset
	Available     int // members that may be chosen
	WrongInstance int // another instance answered at the address
	Ejected       int // requests failed there lately
	Full          int // as many own requests are under way as connections are allowed
	Suspected     int // probes were not answered for too long
}

// Status tells how the members stand now.
func (p *Pool) Status(now float64) Status {
	s := Status{Listed: len(p.endpoints), Members: len(p.members)}
	for _, e := range p.endpoints {
		switch {
		case e.Draining:
			s.Draining++
		case e.stageChange.isActive:
			s.Switching++
		}
	}
	for _, e := range p.members {
		switch {
		case e.isWrongInstance:
			s.WrongInstance++
		case now < e.ejectedUntil:
			s.Ejected++
		case p.maxConnections > 0 && e.InFlight >= p.maxConnections:
			s.Full++
		case e.probeGaps.phi(now) > excludePhi:
			s.Suspected++
		default:
			s.Available++
		}
	}
	return s
}

// candidates returns the members of a stage that may be drawn now. Where all are suspected the least suspected is.
func (p *Pool) candidates(now float64, stage message.Stage, excluded []*Endpoint) []*Endpoint {
	var candidates []*Endpoint
	var lowest *Endpoint
	lowestPhi := 0.0
	for _, e := range p.members {
		if e.Stage != stage || !p.isUsable(e, now) || slices.Contains(excluded, e) {
			continue
		}
		phi := e.probeGaps.phi(now)
		if lowest == nil || phi < lowestPhi {
			lowest, lowestPhi = e, phi
		}
		if phi <= suspectPhi || phi <= excludePhi && p.rng.IntN(2) == 0 {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 && lowest != nil {
		candidates = append(candidates, lowest)
	}
	return candidates
}

// Pick returns the one of two random members with fewer own requests in flight, nil if none may be drawn.
func (p *Pool) Pick(now float64, excluded []*Endpoint) *Endpoint {
	stage := message.Stage("")
	if p.Engine.IsPresent {
		stage = message.Decode // a request without a prompt goes to the servers that make answers
	}
	candidates := p.candidates(now, stage, excluded)
	if len(candidates) == 0 {
		candidates = p.lastResort(now, stage, excluded)
	}
	if len(candidates) == 0 {
		return nil
	}
	first, second := p.pickTwo(candidates)
	if second.ownLoad() < first.ownLoad() {
		return second
	}
	return first
}

// lastResort returns servers where no member may be drawn: those outside the proxy's part, and where there is none either the member that
// cools down and whose time is over first.
func (p *Pool) lastResort(now float64, stage message.Stage, excluded []*Endpoint) []*Endpoint {
	if outside := p.outsideSubset(now, stage, excluded); len(outside) > 0 {
		return outside
	}
	var best *Endpoint
	for _, e := range p.members {
		if e.Stage != stage || e.Draining || e.isWrongInstance || slices.Contains(excluded, e) || now >= e.ejectedUntil {
			continue
		}
		if best == nil || e.ejectedUntil < best.ejectedUntil {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return []*Endpoint{best}
}

// outsideSubset returns servers that may be used and are not in the proxy's part, of many a random stretch. Where most proxies are gone the others
// get all requests, and their parts are full long before the servers are.
func (p *Pool) outsideSubset(now float64, stage message.Stage, excluded []*Endpoint) (servers []*Endpoint) {
	from := 0
	if len(p.ids) > maxOutsideServers {
		from = p.rng.IntN(len(p.ids))
	}
	for i := range min(len(p.ids), maxOutsideServers) {
		e := p.endpoints[p.ids[(from+i)%len(p.ids)]]
		if e.Stage == stage && !e.isMember && p.isUsable(e, now) && !slices.Contains(excluded, e) {
			servers = append(servers, e)
		}
	}
	return servers
}

func (p *Pool) pickTwo(candidates []*Endpoint) (first, second *Endpoint) {
	i := p.rng.IntN(len(candidates))
	j := i
	if len(candidates) > 1 {
		j = (i + 1 + p.rng.IntN(len(candidates)-1)) % len(candidates)
	}
	return candidates[i], candidates[j]
}

// ownLoad is the part of a server's slots that own requests take.
func (e *Endpoint) ownLoad() float64 { return float64(e.InFlight) / float64(max(e.Slots, 1)) }

// StartRequest counts an own request.
func (e *Endpoint) StartRequest() { e.InFlight++ }

// FinishRequest takes it away.
func (e *Endpoint) FinishRequest() { e.InFlight-- }

// RecordSuccess tells that a server served a request.
func (e *Endpoint) RecordSuccess() { e.failures, e.ejectedUntil = 0, 0 }

// RecordFailure tells that a request failed at a server by the server's fault. After some in a row it gets none for a while, and
// it is probed at once.
func (e *Endpoint) RecordFailure(now float64, unreachable bool) {
	e.failures++
	e.nextProbeAt = min(e.nextProbeAt, now)
	if e.failures >= ejectionFailures || unreachable {
		doublings := min(max(e.failures-ejectionFailures, 0), 4)
		e.ejectedUntil = now + min(firstEjectionSeconds*float64(int(1)<<doublings), maxEjectionSeconds)
	}
}

// RecordIdentity takes the instance that an answer from the server's address names, "" where it names none. Another instance's keeps
// requests away until this one's own is heard again.
func (e *Endpoint) RecordIdentity(instance string) {
	if instance != "" {
		e.isWrongInstance = instance != e.ID
	}
}

// RecordMisdirected tells that the server did not take a request for its own. Danger: that is the word on one request. It may go by the
// stage, the weights or the request itself as well as by the instance, so that it holds the server back for a while and has it probed:
// who lives at the address is told by answers that name an instance, alone.
func (e *Endpoint) RecordMisdirected(now float64) { e.RecordFailure(now, true) }

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

// RecordProbe takes what came of a probe.
func (e *Endpoint) RecordProbe(now float64, answered bool) {
	e.isProbing = false
	if answered {
		e.probeGaps.record(now)
		return
	}
	if !e.isWrongInstance {
		e.nextProbeAt = min(e.nextProbeAt, now+retryProbeSeconds)
	}
}

// rendezvousScore orders the servers for a key the same way at every proxy (rendezvous hashing).
func rendezvousScore(key, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ParseChunks reads ID:TOKENS parts, separated by commas.
func ParseChunks(field string) (parts []Chunk) {
	for piece := range strings.SplitSeq(field, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(piece), ":")
		count := parseCount(tokens)
		if ok && id != "" && count > 0 {
			parts = append(parts, Chunk{ID: id, Tokens: count})
		}
	}
	return parts
}

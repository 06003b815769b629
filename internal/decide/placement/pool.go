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
	// subsetFloor is the number of servers that each proxy takes at least, where there are so many. Of those that read prompts it is
	// more: openings that are held at one server are found there only by proxies that have it in their subset.
	subsetFloor        = 6
	subsetFloorReaders = 64
	// coolFirst and coolMost bound how long a server that fails requests gets none, in seconds. It doubles from failure to failure.
	coolFirst = 0.4
	coolMost  = 6.0
	// coolAfter is the number of failures in a row after which it does.
	coolAfter = 2
	// connectionPart is the part of a service's connections that all proxies together use.
	connectionPart = 0.8
	// memberPart is the part of a server's connections for which there are proxies with the server in their subset. Danger: a server keeps
	// the connections of processes that lost power until they have rested for too long. Those and the ones of the processes that come back
	// must fit, or it resets what is sent meanwhile, and a request that may run once can't be sent again.
	memberPart = 0.5
	// leastMembers is the number of servers that a proxy has all the same.
	leastMembers = 3
	// outsideMost bounds the servers outside a proxy's part that are looked at for one request.
	outsideMost = 256
	// goneFor is for how long an instance that left the list is not taken back from an older reading, in seconds.
	goneFor = 10.0
)

// Endpoint is a server as one proxy knows it.
type Endpoint struct {
	message.Instance
	InFlight int // own requests

	key       uint32 // in loads
	member    bool   // of the proxy's part
	window    window
	nextProbe float64
	probing   bool
	failures  int
	coolUntil float64
	misplaced bool // another instance answered at the address, and this one has not since
	switching switching
	engine    engineView
}

// Pool holds the servers of one service.
type Pool struct {
	Service string
	Zone    string // of the proxy
	Engine  Engine
	Budget  RetryBudget

	rng         *rand.Rand
	endpoints   map[string]*Endpoint
	ids         []string // in order
	members     []*Endpoint
	gone        map[string]float64 // when instances left the list
	rank, count int
	most        int // connections of this proxy to one server
	connections int // that a server takes from all callers, 0: not known
}

// NewPool returns a pool without servers.
func NewPool(service, zone string, budget RetryBudget, rng *rand.Rand) *Pool {
	return &Pool{Service: service, Zone: zone, Budget: budget, rng: rng, endpoints: map[string]*Endpoint{}, gone: map[string]float64{}, count: 1}
}

// SetRank tells the proxy's number among so many.
func (p *Pool) SetRank(rank, count int) {
	if count > 0 && (rank != p.rank || count != p.count) {
		p.rank, p.count = rank, count
		p.subset()
	}
}

// ProxyCount returns the number of proxies that is known of.
func (p *Pool) ProxyCount() int { return p.count }

// SetMaxConnections tells how many connections a server takes from all callers together.
func (p *Pool) SetMaxConnections(most int) {
	if most != p.connections {
		p.connections = most
		p.subset()
	}
	p.most = max(int(connectionPart*float64(most))/max(p.count, 1), 2)
	if most <= 0 {
		p.most = 1 << 20
	}
}

// HasFewConnections tells whether two connections of each proxy would be more than a server takes: those of processes that have lost power
// may still be there beside the ones of the processes that came back.
func (p *Pool) HasFewConnections() bool { return p.connections > 0 && 2*p.count >= p.connections }

// UpdateInstances takes a reading of the list. Draining never ends but by leaving, and who has left does not come back.
func (p *Pool) UpdateInstances(now float64, instances []message.Instance) {
	for id, at := range p.gone {
		if now-at > goneFor {
			delete(p.gone, id)
		}
	}
	listed := map[string]bool{}
	for i := range instances {
		if instances[i].Service == p.Service {
			listed[instances[i].ID] = true
			p.update(now, &instances[i])
		}
	}
	for id := range p.endpoints {
		if !listed[id] {
			delete(p.endpoints, id)
			p.gone[id] = now
		}
	}
	p.ids = p.ids[:0]
	for id := range p.endpoints {
		p.ids = append(p.ids, id)
	}
	slices.Sort(p.ids)
	p.subset()
}

func (p *Pool) update(now float64, listed *message.Instance) {
	if _, left := p.gone[listed.ID]; left {
		return
	}
	known := p.endpoints[listed.ID]
	if known == nil {
		known = &Endpoint{key: message.InstanceKey(listed.ID)}
		known.window.seed(now, p.meanGap())
		known.nextProbe = now + p.rng.Float64()*ProbeIntervalSeconds
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
		sum += endpoint.window.mean()
	}
	return sum / float64(len(p.endpoints))
}

// CanReadmit tells whether an instance that was taken to be gone for long enough could come back with the next Update.
func (p *Pool) CanReadmit(now float64) bool {
	for _, at := range p.gone {
		if now-at > goneFor {
			return true
		}
	}
	return false
}

// subset takes an even part of the servers by the proxy's number, of each stage by itself.
func (p *Pool) subset() {
	for _, member := range p.members {
		member.member = false
	}
	p.members = p.members[:0]
	for _, stage := range []message.Stage{"", message.Prefill, message.Decode} {
		var ring []*Endpoint
		for _, id := range p.ids {
			if endpoint := p.endpoints[id]; endpoint.Stage == stage && !endpoint.Draining && !endpoint.switching.on {
				ring = append(ring, endpoint)
			}
		}
		if len(ring) == 0 {
			continue
		}
		floor := float64(subsetFloor)
		if stage == message.Prefill {
			floor = subsetFloorReaders
		}
		from, size := policy.Subset(len(ring), p.rank, p.count, min(floor, p.mostMembers(len(ring))))
		for i := range size {
			member := ring[(from+i)%len(ring)]
			member.member = true
			p.members = append(p.members, member)
		}
	}
}

// mostMembers bounds a proxy's part of so many servers by their connections.
func (p *Pool) mostMembers(servers int) float64 {
	if p.connections <= 0 {
		return float64(servers)
	}
	return max(math.Floor(memberPart*float64(p.connections*servers)/float64(max(p.count, 1))), leastMembers)
}

// usable tells whether an endpoint may get a request, but for its suspicion.
func (p *Pool) usable(e *Endpoint, now float64) bool {
	return !e.Draining && !e.misplaced && !e.switching.on && now >= e.coolUntil && (p.most == 0 || e.InFlight < p.most)
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
		case e.switching.on:
			s.Switching++
		}
	}
	for _, e := range p.members {
		switch {
		case e.misplaced:
			s.WrongInstance++
		case now < e.coolUntil:
			s.Ejected++
		case p.most > 0 && e.InFlight >= p.most:
			s.Full++
		case e.window.phi(now) > phiOut:
			s.Suspected++
		default:
			s.Available++
		}
	}
	return s
}

// candidates returns the members of a stage that may be drawn now. Where all are suspected the least suspected is.
func (p *Pool) candidates(now float64, stage message.Stage, without []*Endpoint) []*Endpoint {
	var drawn []*Endpoint
	var lowest *Endpoint
	lowestPhi := 0.0
	for _, e := range p.members {
		if e.Stage != stage || !p.usable(e, now) || slices.Contains(without, e) {
			continue
		}
		phi := e.window.phi(now)
		if lowest == nil || phi < lowestPhi {
			lowest, lowestPhi = e, phi
		}
		if phi <= phiHalf || phi <= phiOut && p.rng.IntN(2) == 0 {
			drawn = append(drawn, e)
		}
	}
	if len(drawn) == 0 && lowest != nil {
		drawn = append(drawn, lowest)
	}
	return drawn
}

// Pick returns the one of two random members with fewer own requests in flight, nil if none may be drawn.
func (p *Pool) Pick(now float64, without []*Endpoint) *Endpoint {
	stage := message.Stage("")
	if p.Engine.IsPresent {
		stage = message.Decode // a request without a prompt goes to the servers that make answers
	}
	drawn := p.candidates(now, stage, without)
	if len(drawn) == 0 {
		drawn = p.lastResort(now, stage, without)
	}
	if len(drawn) == 0 {
		return nil
	}
	first, second := p.two(drawn)
	if second.load() < first.load() {
		return second
	}
	return first
}

// lastResort returns servers where no member may be drawn: those outside the proxy's part, and where there is none either the member that
// cools down and whose time is over first.
func (p *Pool) lastResort(now float64, stage message.Stage, without []*Endpoint) []*Endpoint {
	if outside := p.outside(now, stage, without); len(outside) > 0 {
		return outside
	}
	var best *Endpoint
	for _, e := range p.members {
		if e.Stage != stage || e.Draining || e.misplaced || slices.Contains(without, e) || now >= e.coolUntil {
			continue
		}
		if best == nil || e.coolUntil < best.coolUntil {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return []*Endpoint{best}
}

// outside returns servers that may be used and are not in the proxy's part, of many a random stretch. Where most proxies are gone the others
// get all requests, and their parts are full long before the servers are.
func (p *Pool) outside(now float64, stage message.Stage, without []*Endpoint) (servers []*Endpoint) {
	from := 0
	if len(p.ids) > outsideMost {
		from = p.rng.IntN(len(p.ids))
	}
	for i := range min(len(p.ids), outsideMost) {
		e := p.endpoints[p.ids[(from+i)%len(p.ids)]]
		if e.Stage == stage && !e.member && p.usable(e, now) && !slices.Contains(without, e) {
			servers = append(servers, e)
		}
	}
	return servers
}

func (p *Pool) two(drawn []*Endpoint) (first, second *Endpoint) {
	i := p.rng.IntN(len(drawn))
	j := i
	if len(drawn) > 1 {
		j = (i + 1 + p.rng.IntN(len(drawn)-1)) % len(drawn)
	}
	return drawn[i], drawn[j]
}

// load is the part of a server's slots that own requests take.
func (e *Endpoint) load() float64 { return float64(e.InFlight) / float64(max(e.Slots, 1)) }

// StartRequest counts an own request.
func (e *Endpoint) StartRequest() { e.InFlight++ }

// FinishRequest takes it away.
func (e *Endpoint) FinishRequest() { e.InFlight-- }

// RecordSuccess tells that a server served a request.
func (e *Endpoint) RecordSuccess() { e.failures, e.coolUntil = 0, 0 }

// RecordFailure tells that a request failed at a server by the server's fault. After some in a row it gets none for a while, and
// it is probed at once.
func (e *Endpoint) RecordFailure(now float64, unreachable bool) {
	e.failures++
	e.nextProbe = min(e.nextProbe, now)
	if e.failures >= coolAfter || unreachable {
		shift := min(max(e.failures-coolAfter, 0), 4)
		e.coolUntil = now + min(coolFirst*float64(int(1)<<shift), coolMost)
	}
}

// RecordIdentity takes the instance that an answer from the server's address names, "" where it names none. Another instance's keeps
// requests away until this one's own is heard again.
func (e *Endpoint) RecordIdentity(instance string) {
	if instance != "" {
		e.misplaced = instance != e.ID
	}
}

// RecordMisdirected tells that the server did not take a request for its own. Danger: that is the word on one request. It may go by the
// stage, the weights or the request itself as well as by the instance, so that it holds the server back for a while and has it probed:
// who lives at the address is told by answers that name an instance, alone.
func (e *Endpoint) RecordMisdirected(now float64) { e.RecordFailure(now, true) }

// DueProbes returns the members to probe now.
func (p *Pool) DueProbes(now float64) (due []*Endpoint) {
	for _, e := range p.members {
		if !e.probing && now >= e.nextProbe {
			e.probing = true
			e.nextProbe = now + ProbeIntervalSeconds
			due = append(due, e)
		}
	}
	return due
}

// RecordProbe takes what came of a probe.
func (e *Endpoint) RecordProbe(now float64, answered bool) {
	e.probing = false
	if answered {
		e.window.arrive(now)
		return
	}
	if !e.misplaced {
		e.nextProbe = min(e.nextProbe, now+probeAgain)
	}
}

// homeScore orders the servers for a key the same way at every proxy (rendezvous hashing).
func homeScore(key, id string) uint64 {
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

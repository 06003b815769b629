package placement

import (
	"hash/fnv"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// maxOutsideServers bounds the servers outside a proxy's part that are looked at for one request.
	maxOutsideServers = 256
)

// isUsable tells whether an endpoint may get a request, but for its suspicion.
func (p *Pool) isUsable(e *Endpoint, now float64) bool {
	return !e.Draining && !e.isWrongInstance && !e.stageChange.isActive && now >= e.ejectedUntil && (p.maxConnections == 0 || e.InFlight < p.maxConnections)
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

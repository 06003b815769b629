package placement

import (
	"hash/fnv"
	"slices"

	"hazelwheel/internal/message"
)

// maxOutsideServers bounds the servers outside the subset that are considered for one request.
const maxOutsideServers = 256

// isUsable reports whether an endpoint may get a request, regardless of the failure detector.
func (p *Pool) isUsable(e *Endpoint, now float64) bool {
	return !e.Draining && !e.isWrongInstance && !e.stageChange.isActive && now >= e.ejectedUntil && (p.maxConnections == 0 || e.InFlight < p.maxConnections)
}

// candidates returns the members of a stage that may be picked now. A suspected member is included with a probability of one
// half; one above excludePhi is left out. If that leaves none, it returns the least suspected one.
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

// Pick picks a server for a request without a prompt: of two random candidates, the one with less load from this proxy. It
// returns nil if there is none. excluded contains the servers that have failed the request before.
func (p *Pool) Pick(now float64, excluded []*Endpoint) *Endpoint {
	stage := message.Stage("")
	if p.Engine.IsPresent {
		stage = message.Decode // of the model servers, only these can answer by themselves
	}
	candidates := p.candidates(now, stage, excluded)
	if len(candidates) == 0 {
		candidates = p.fallbackServers(now, stage, excluded)
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

// fallbackServers returns servers to use if there are no candidates: usable ones outside the subset or, if there are none, the
// member whose ejection ends first.
func (p *Pool) fallbackServers(now float64, stage message.Stage, excluded []*Endpoint) []*Endpoint {
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

// outsideSubset returns usable servers outside the subset; if there are many servers, it considers a random range of them. When
// most proxies are down, the others get all requests, and their subsets are full long before all servers are.
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

// pickTwo returns two different random candidates, or the same one twice if there is only one.
func (p *Pool) pickTwo(candidates []*Endpoint) (first, second *Endpoint) {
	i := p.rng.IntN(len(candidates))
	j := i
	if len(candidates) > 1 {
		j = (i + 1 + p.rng.IntN(len(candidates)-1)) % len(candidates)
	}
	return candidates[i], candidates[j]
}

// rendezvousScore returns the score of a server for a key. The server with the highest score is the key's home. All proxies must
// compute the same score.
func rendezvousScore(key, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // never fails, like the following ones
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	x := hash.Sum64()
	x ^= x >> 33 // spreads similar names, with steps of the MurmurHash3 finalizer
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

package policy

import (
	"math"
	"slices"
)

const (
	likelier   = 1.4  // a cold host probably has so many times the least that it must have
	hope       = 0.85 // and a hinted one shorter by so much, or heavy requests are all refused
	lineWeight = 1.5  // a line probably grows before a request comes to its head
	doubt      = 1.3  // a guessed time may well be so many times longer
	farWeight  = 20.0 // how much dearer a host of another zone is, for the price of crossing
	scatter    = 0.12 // costs that differ by less are alike, or all proxies would go to the same host
	scanMost   = 32   // members that are looked at for each pick
	scanPause  = 2e-6 // for each member: between two looks at all where they are more
)

// slowness is how much slower than the others a host is taken to be by its answers. Danger: in a flood all
// are late, by lines that are counted already; held against each, nearly all would be refused.
func (b *Balancer) slowness(h *host) float64 { return max(b.faded(h)/max(b.slow, 1), 1) }

// expect is the time that a host no slower than usual should take: the part hinted at, and the part guessed.
func (b *Balancer) expect(h *host, r *request) (hinted, guessed float64) {
	strength := min(1, likelier*b.strength(h))
	if !b.polls {
		return 0, b.classMean[r.Request.Class]/strength + lineWeight*b.line(h)
	}
	guessed = b.svc * b.load(h)
	if r.HasWork {
		return b.svc * r.units / strength, guessed / strength
	}
	return 0, (guessed + b.svc) / strength
}

// cost orders the hosts that could take a request.
func (b *Balancer) cost(h *host, r *request) float64 {
	if b.polls {
		hinted, guessed := b.expect(h, r)
		return (hinted + guessed) * b.slowness(h)
	}
	ahead := float64(len(h.outs)) + 1 + b.line(h)/b.classMean[r.Request.Class]
	if b.s.SizesComparable && h.Size > 0 {
		ahead /= h.Size
	}
	return ahead * b.slowness(h) * b.kinds.of(h.Kind) / b.strength(h)
}

// fits tells whether a host can be expected to answer within the aim. Danger: a limit below one shuts hosts.
func (b *Balancer) fits(h *host, r *request) bool {
	limit := max(h.limit*b.strength(h), 1)
	if b.now < h.shunned[r.Request.Class] || !b.polls && float64(len(h.outs)) >= limit {
		return false
	}
	hinted, guessed := b.expect(h, r)
	return b.now+(hope*hinted+doubt*guessed)*b.slowness(h) <= r.aim
}

// pick returns the best host for a request, nil if none can answer it in time; of many it draws a few.
func (b *Balancer) pick(r *request) *host {
	b.readPhi()
	if len(b.members) > scanMost && !b.polls && len(r.attempts) == 0 {
		if h := b.draw(r); h != nil || b.now < b.scanAt {
			return h
		}
		b.scanAt = b.now + scanPause*float64(len(b.members))
		b.found = b.best(r, false) // where most are full, the next requests may go there, too
		return b.found
	}
	if h := b.best(r, b.polls); h != nil || b.polls && slices.ContainsFunc(b.members, b.fresh) {
		return h
	}
	return b.best(r, false)
}

// draw returns the best of some draws from each set of members; what one set lacks is drawn from the next.
func (b *Balancer) draw(r *request) (best *host) {
	least, want := math.Inf(1), 0
	good := func(h *host) bool {
		c := b.weigh(r, h)
		if c < least {
			best, least = h, c
		}
		return !math.IsInf(c, 1)
	}
	if b.found != nil && b.found.member {
		good(b.found)
	}
	for set, more := range [...]int{near: 3, far: 1, cold: 1} {
		want += more
		for tries := 3 * want; tries > 0 && want > 0 && more > 0; tries-- {
			if h := b.sets.draw(b.rng, set); h == nil {
				break
			} else if good(h) {
				want--
			}
		}
	}
	return best
}

// weigh returns what a request would cost at a host; infinity: it may not go there, or comes too late.
func (b *Balancer) weigh(r *request, h *host) float64 {
	if !b.allowed(r, h) || !b.polls && !b.candidate(h) || h.phi > phiOut || !b.fits(h, r) {
		return math.Inf(1)
	}
	cost := b.cost(h, r) * (1 + scatter*b.rng.Float64())
	if h.Zone != b.s.Zone {
		cost *= 1 + farWeight*b.s.CrossZonePrice
	}
	return cost
}

func (b *Balancer) best(r *request, fresh bool) *host {
	var best, lowest *host
	least := math.Inf(1)
	for _, h := range b.members {
		if (lowest == nil || h.phi < lowest.phi) && b.allowed(r, h) {
			lowest = h
		}
		if fresh && !b.fresh(h) {
			continue
		}
		if c := b.weigh(r, h); c < least {
			best, least = h, c
		}
	}
	if best == nil && lowest != nil && lowest.phi > phiOut && b.fits(lowest, r) {
		return lowest // all are out: the least suspected gets the traffic
	}
	return best
}

// sort parts the members by what they are good for, where they are too many to look at each for a pick.
func (b *Balancer) sort() {
	b.sets.clear()
	b.sets.measure(b.members, b.s.SizesComparable)
	for i := 0; i < len(b.members) && len(b.members) > scanMost; i++ {
		switch h := b.members[i]; {
		case h.bound || h.phi > phiOut:
			b.sets.put(h, outside)
		case b.strength(h) < 1:
			b.sets.put(h, cold)
		case h.Zone == b.s.Zone || b.s.CrossZonePrice == 0:
			b.sets.put(h, near)
		default:
			b.sets.put(h, far)
		}
	}
}

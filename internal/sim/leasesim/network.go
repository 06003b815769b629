package leasesim

import (
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/lease"
)

// linkUp reports a new link to the nodes at both ends.
func (s *Simulation) linkUp(a, b *node) {
	for _, p := range [2][2]*node{{a, b}, {b, a}} {
		incarnation, other := p[0].incarnation, p[1].incarnation
		s.After(s.latency(), func() {
			if p[1].incarnation == other && p[1].up && !s.partitioned[a.number][b.number] && !s.partitioned[b.number][a.number] {
				p[0].call(incarnation, func() { p[0].lease.HandleLinkUp(p[0].localTime(), p[1].identity.id) })
			}
		})
	}
}

// latency draws the seconds that a message takes.
func (s *Simulation) latency() float64 { return s.latencySeconds * (1 + s.rng.Float64()) }

// frameHeaderBytes is what a frame adds to a message on the wire.
const frameHeaderBytes = 6

// send transmits a message of one node to another.
func (s *Simulation) send(from, to *node, body []byte) {
	from.bytes += uint64(len(body) + frameHeaderBytes)
	from.messages++
	id, incarnation := from.identity.id, to.incarnation
	s.deliver(from, to, func() {
		to.call(incarnation, func() {
			var m lease.Message
			if err := msgpack.Unmarshal(body, &m); err != nil {
				panic(err)
			}
			to.lease.HandleMessage(to.localTime(), id, &m)
		})
	})
}

// deliver calls arrive when a message would arrive, unless it is lost.
func (s *Simulation) deliver(from, to *node, arrive func()) {
	if from == to {
		s.After(0, arrive)
		return
	}
	i, j := from.number, to.number
	if s.partitioned[i][j] || s.chance(s.lossProbability) {
		return
	}
	at := max(s.Now()+s.latency(), s.stalledUntil[i][j], s.lastArrival[i][j])
	if s.chance(s.delayProbability) {
		at += s.uniform(0, 60) // a message on an old link that arrives after all
	} else {
		s.lastArrival[i][j] = at
	}
	s.At(at, arrive)
}

// reachable returns, by number, the nodes that a node can hear, also by way of others.
func (s *Simulation) reachable(n *node) []bool {
	got := make([]bool, len(s.nodes))
	got[n.number] = true
	next := []int{n.number}
	for len(next) > 0 {
		i := next[0]
		next = next[1:]
		for j, o := range s.nodes {
			if got[j] || !o.up || o.frozen || s.partitioned[i][j] || s.partitioned[j][i] || s.stalledUntil[i][j] > s.Now() || s.stalledUntil[j][i] > s.Now() {
				continue
			}
			got[j] = true
			next = append(next, j)
		}
	}
	return got
}

// partition cuts the link between two nodes for a while, from a to b alone or both ways.
func (s *Simulation) partition(a, b *node, both bool, seconds float64) {
	s.partitioned[a.number][b.number] = true
	if both {
		s.partitioned[b.number][a.number] = true
	}
	s.After(seconds, func() {
		s.partitioned[a.number][b.number], s.partitioned[b.number][a.number] = false, false
		s.linkUp(a, b)
	})
}

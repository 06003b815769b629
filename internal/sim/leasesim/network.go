package leasesim

import (
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/lease"
)

// linkUp tells two that there is a new link between them.
func (s *Simulation) linkUp(a, b *node) {
	for _, p := range [2][2]*node{{a, b}, {b, a}} {
		life, other := p[0].incarnation, p[1].incarnation
		s.After(s.latency(), func() {
			if p[1].incarnation == other && p[1].up && !s.partitioned[a.number][b.number] && !s.partitioned[b.number][a.number] {
				p[0].call(life, func() { p[0].lease.HandleLinkUp(p[0].localTime(), p[1].identity.id) })
			}
		})
	}
}

func (s *Simulation) latency() float64 { return s.latencySeconds * (1 + s.rng.Float64()) }

const frameHeaderBytes = 6

// send brings a message from one to another.
func (s *Simulation) send(from, to *node, body []byte) {
	from.bytes += uint64(len(body) + frameHeaderBytes)
	from.messages++
	id, life := from.identity.id, to.incarnation
	s.deliver(from, to, func() {
		to.call(life, func() {
			var m lease.Message
			if err := msgpack.Unmarshal(body, &m); err != nil {
				panic(err)
			}
			to.lease.HandleMessage(to.localTime(), id, &m)
		})
	})
}

// deliver has something arrive, if it does.
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
		at += s.uniform(0, 60) // an old link, whose bytes come in after all
	} else {
		s.lastArrival[i][j] = at
	}
	s.At(at, arrive)
}

// reachable tells whom a member hears, by way of others too.
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

func (s *Simulation) partition(a, b *node, both bool, forS float64) {
	s.partitioned[a.number][b.number] = true
	if both {
		s.partitioned[b.number][a.number] = true
	}
	s.After(forS, func() {
		s.partitioned[a.number][b.number], s.partitioned[b.number][a.number] = false, false
		s.linkUp(a, b)
	})
}

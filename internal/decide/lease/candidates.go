package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// bid is a member's word that it would do jobs.
type bid struct {
	id         swim.ID
	bootID     uint64
	roles      []string
	receivedAt float64
}

type exclusion struct {
	role  string
	id    swim.ID
	until float64
}

func (n *Node) recordBid(from swim.ID, m *Message) {
	for _, job := range m.Bids {
		n.roleFor(job)
	}
	i, known := slices.BinarySearchFunc(n.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if !known {
		n.bids = slices.Insert(n.bids, i, bid{id: from})
	}
	b := &n.bids[i]
	if n.now-b.receivedAt < bidValidSeconds && b.bootID == m.BootID {
		for _, job := range m.Bids {
			if !slices.Contains(b.roles, job) {
				b.roles = append(b.roles, job)
			}
		}
	} else {
		b.roles = slices.Clone(m.Bids)
	}
	b.receivedAt, b.bootID = n.now, m.BootID
}

// withdrawBid forgets that a member would do a job, since it has just given it back. Danger: one that began again between its word and the
// grant gives back what its former life was granted, and by that word it would be granted the job again and again.
func (n *Node) withdrawBid(from swim.ID, job string) {
	if i, known := slices.BinarySearchFunc(n.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) }); known {
		n.bids[i].roles = slices.DeleteFunc(n.bids[i].roles, func(o string) bool { return o == job })
	}
}

// bidBootID returns the life of a member that would do a job; 0: it has not said so lately.
func (n *Node) bidBootID(id swim.ID, job string) uint64 {
	if id == n.self {
		if n.canHold(job) {
			return n.bootID
		}
		return 0
	}
	i, known := slices.BinarySearchFunc(n.bids, id, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if known && n.now-n.bids[i].receivedAt < bidValidSeconds && slices.Contains(n.bids[i].roles, job) {
		return n.bids[i].bootID
	}
	return 0
}

// exclude has a member not be granted a job for a while.
func (n *Node) exclude(job string, id swim.ID, forS float64) {
	n.exclusions = slices.DeleteFunc(n.exclusions, func(p exclusion) bool { return p.until <= n.now || p.role == job && p.id == id })
	n.exclusions = append(n.exclusions, exclusion{job, id, n.now + forS})
}

// rankCandidates returns who may be granted a job, the best first: who has the fewest jobs, and of these by a draw that is the same
// for all and another for each job.
func (n *Node) rankCandidates(p *roleState, list []command) (ids []swim.ID) {
	g, _ := n.group.machine.grant(p.role)
	type rank struct {
		id   swim.ID
		load int
		draw uint64
	}
	var ranks []rank
	for _, m := range n.members {
		if m.State != swim.Alive || m.ID == n.self && !n.canHold(p.role) ||
			slices.ContainsFunc(n.exclusions, func(o exclusion) bool { return o.role == p.role && o.id == m.ID && n.now < o.until }) {
			continue
		}
		load := n.roleCount(m.ID, list)
		if m.ID == g.Holder {
			load-- // this very job
		}
		ranks = append(ranks, rank{m.ID, load, candidateHash(p.role, m.ID)})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.draw, b.draw), cmp.Compare(a.id, b.id))
	})
	for _, r := range ranks {
		ids = append(ids, r.id)
	}
	return ids
}

// candidateHash is a number of a job and a member.
func candidateHash(job string, id swim.ID) uint64 {
	x := uint64(id)
	for _, b := range []byte(job) {
		x = (x ^ uint64(b)) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chooseHolder returns who is to own a job that is free: 0 while nobody has said yes.
func (n *Node) chooseHolder(p *roleState, list []command) (swim.ID, uint64) {
	ranked := n.rankCandidates(p, list)
	if len(ranked) == 0 {
		return 0, 0
	}
	if life := n.bidBootID(ranked[0], p.role); life != 0 {
		return ranked[0], life
	}
	n.offerRole(p, ranked)
	if n.now-p.offeredAt < bestBidWaitSeconds {
		n.dueAt = min(n.dueAt, p.offeredAt+bestBidWaitSeconds)
		return 0, 0
	}
	for _, id := range ranked {
		if life := n.bidBootID(id, p.role); life != 0 {
			return id, life
		}
	}
	return 0, 0
}

// solicitBids asks who would take a job.
func (n *Node) solicitBids(p *roleState) { n.offerRole(p, n.rankCandidates(p, nil)) }

func (n *Node) offerRole(p *roleState, ranked []swim.ID) {
	switch {
	case p.offered != nil && n.now-p.offeredAt < offerTimeoutSeconds:
		return
	case p.offered != nil && n.now-p.offeredAt < bidValidSeconds:
		for _, id := range p.offered {
			if n.bidBootID(id, p.role) == 0 {
				n.exclude(p.role, id, silentExclusionSeconds)
			}
		}
		if slices.ContainsFunc(p.offered, func(id swim.ID) bool { return n.bidBootID(id, p.role) != 0 }) && n.now-p.offeredAt < bidValidSeconds/2 {
			return
		}
		ranked = n.rankCandidates(p, nil)
	}
	p.offered, p.offeredAt = nil, n.now
	for _, id := range ranked[:min(len(ranked), maxOffers)] {
		p.offered = append(p.offered, id)
		if id != n.self {
			n.actions.Send(id, &Message{Offered: []string{p.role}})
		}
	}
	n.dueAt = min(n.dueAt, n.now+bestBidWaitSeconds)
}

// resendOffers takes a new link: who was asked without one is asked again.
func (n *Node) resendOffers(id swim.ID) {
	if !n.isLeaderReady() {
		return
	}
	for _, p := range n.roles {
		if slices.Contains(p.offered, id) && n.now-p.offeredAt < bidValidSeconds && n.bidBootID(id, p.role) == 0 {
			n.actions.Send(id, &Message{Offered: []string{p.role}})
		}
	}
}

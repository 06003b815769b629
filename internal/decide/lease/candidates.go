package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Times and bounds of offers.
const (
	bidValidSeconds         = 3.0  // how long a bid counts
	bestBidWaitSeconds      = 0.1  // how long the best candidate's bid is waited for before another bidder is chosen
	offerTimeoutSeconds     = 0.3  // how long replies to an offer are waited for before other candidates get it
	declineExclusionSeconds = 30.0 // how long a member is excluded after it declined a role or was asked to step down
	silentExclusionSeconds  = 2.0  // how long a member is excluded after it did not reply to an offer
	maxOffers               = 3    // how many candidates are offered a role at a time
)

// bid is a member's offer to take roles.
type bid struct {
	id         swim.ID
	bootID     uint64
	roles      []string
	receivedAt float64
}

// exclusion keeps a member from being granted a role until a time. With an empty role it keeps the member from becoming a voter.
type exclusion struct {
	role  string
	id    swim.ID
	until float64
}

// recordBid stores a member's bid. While an earlier bid of the same process is valid, the roles of both count.
func (n *Node) recordBid(from swim.ID, m *Message) {
	for _, role := range m.Bids {
		n.roleFor(role)
	}
	i, known := slices.BinarySearchFunc(n.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if !known {
		n.bids = slices.Insert(n.bids, i, bid{id: from})
	}
	b := &n.bids[i]
	if n.now-b.receivedAt < bidValidSeconds && b.bootID == m.BootID {
		for _, role := range m.Bids {
			if !slices.Contains(b.roles, role) {
				b.roles = append(b.roles, role)
			}
		}
	} else {
		b.roles = slices.Clone(m.Bids)
	}
	b.receivedAt, b.bootID = n.now, m.BootID
}

// withdrawBid drops a member's bid for a role that it has just released. Otherwise a process that restarted between its bid and the
// grant would release the grant, which names the boot ID of the process before it, and get the role again by the same bid, over
// and over.
func (n *Node) withdrawBid(from swim.ID, role string) {
	if i, known := slices.BinarySearchFunc(n.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) }); known {
		n.bids[i].roles = slices.DeleteFunc(n.bids[i].roles, func(other string) bool { return other == role })
	}
}

// bidBootID returns the boot ID that came with a member's bid for a role, 0 if it has no valid bid.
func (n *Node) bidBootID(id swim.ID, role string) uint64 {
	if id == n.self {
		if n.canHold(role) {
			return n.bootID
		}
		return 0
	}
	i, known := slices.BinarySearchFunc(n.bids, id, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if known && n.now-n.bids[i].receivedAt < bidValidSeconds && slices.Contains(n.bids[i].roles, role) {
		return n.bids[i].bootID
	}
	return 0
}

// exclude keeps a member from being granted a role for some seconds.
func (n *Node) exclude(role string, id swim.ID, seconds float64) {
	n.exclusions = slices.DeleteFunc(n.exclusions, func(e exclusion) bool { return e.until <= n.now || e.role == role && e.id == id })
	n.exclusions = append(n.exclusions, exclusion{role, id, n.now + seconds})
}

// rankCandidates returns the members that may be granted a role, best first: those with the fewest roles, and among equals by a
// hash that differs by role.
func (n *Node) rankCandidates(state *roleState, commands []command) (ids []swim.ID) {
	g, _ := n.group.machine.grant(state.role)
	type rank struct {
		id   swim.ID
		load int
		hash uint64
	}
	var ranks []rank
	for _, m := range n.members {
		if m.State != swim.Alive || m.ID == n.self && !n.canHold(state.role) ||
			slices.ContainsFunc(n.exclusions, func(e exclusion) bool { return e.role == state.role && e.id == m.ID && n.now < e.until }) {
			continue
		}
		load := n.roleCount(m.ID, commands)
		if m.ID == g.Holder {
			load-- // the role itself
		}
		ranks = append(ranks, rank{m.ID, load, candidateHash(state.role, m.ID)})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	for _, r := range ranks {
		ids = append(ids, r.id)
	}
	return ids
}

// candidateHash hashes a role and a member's ID. The result is the same on all members.
func candidateHash(role string, id swim.ID) uint64 {
	x := uint64(id)
	for _, b := range []byte(role) {
		x = (x ^ uint64(b)) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chooseHolder returns the next holder of a role and its boot ID, or zeros until a candidate has bid. It waits bestBidWaitSeconds
// for the best candidate's bid before it chooses another bidder.
func (n *Node) chooseHolder(state *roleState, commands []command) (swim.ID, uint64) {
	ranked := n.rankCandidates(state, commands)
	if len(ranked) == 0 {
		return 0, 0
	}
	if bootID := n.bidBootID(ranked[0], state.role); bootID != 0 {
		return ranked[0], bootID
	}
	n.offerRole(state, ranked)
	if n.now-state.offeredAt < bestBidWaitSeconds {
		n.dueAt = min(n.dueAt, state.offeredAt+bestBidWaitSeconds)
		return 0, 0
	}
	for _, id := range ranked {
		if bootID := n.bidBootID(id, state.role); bootID != 0 {
			return id, bootID
		}
	}
	return 0, 0
}

// solicitBids offers a role whose lease may soon expire, so that bids have come in by then.
func (n *Node) solicitBids(state *roleState) { n.offerRole(state, n.rankCandidates(state, nil)) }

// offerRole offers a role to the best candidates, maxOffers at a time. Candidates that did not bid after the last offer are excluded
// for silentExclusionSeconds.
func (n *Node) offerRole(state *roleState, ranked []swim.ID) {
	switch {
	case state.offered != nil && n.now-state.offeredAt < offerTimeoutSeconds:
		return
	case state.offered != nil && n.now-state.offeredAt < bidValidSeconds:
		for _, id := range state.offered {
			if n.bidBootID(id, state.role) == 0 {
				n.exclude(state.role, id, silentExclusionSeconds)
			}
		}
		if slices.ContainsFunc(state.offered, func(id swim.ID) bool { return n.bidBootID(id, state.role) != 0 }) && n.now-state.offeredAt < bidValidSeconds/2 {
			return
		}
		ranked = n.rankCandidates(state, nil)
	}
	state.offered, state.offeredAt = nil, n.now
	for _, id := range ranked[:min(len(ranked), maxOffers)] {
		state.offered = append(state.offered, id)
		if id != n.self {
			n.actions.Send(id, &Message{Offered: []string{state.role}})
		}
	}
	n.dueAt = min(n.dueAt, n.now+bestBidWaitSeconds)
}

// resendOffers repeats offers to a member once a link to it is up, since the first may have been lost without a link.
func (n *Node) resendOffers(id swim.ID) {
	if !n.isLeaderReady() {
		return
	}
	for _, state := range n.roles {
		if slices.Contains(state.offered, id) && n.now-state.offeredAt < bidValidSeconds && n.bidBootID(id, state.role) == 0 {
			n.actions.Send(id, &Message{Offered: []string{state.role}})
		}
	}
}

package lease

import (
	"slices"

	"hazelwheel/internal/decide/swim"
)

// FoundingStep is the kind of a Founding message. The numbers are the wire form.
type FoundingStep uint8

// The steps of the founding.
const (
	StepPrepare FoundingStep = iota
	StepPromise
	StepAccept
	StepAccepted
	StepChosen
	StepRejected
	StepQuery // asks for the founding of the group that the receiver belongs to
)

// proposal is the state of this member's proposal of a founding.
type proposal struct {
	ballot   uint64
	promises []*Founding // by index in Settings.InitialVoters
	accepted []bool
	value    *Founding // nil until all have promised
}

// Times of the founding, in seconds.
const (
	foundingCheckIntervalSeconds = 0.5  // time between two checks whether all initial voters are alive
	foundingRetrySeconds         = 2.0  // minimum time between two proposals; a random time of up to as much is added
	groupGoneSeconds             = 60.0 // how long all voters of a known group must be gone before another group is founded
	maxInitialVoters             = 7
)

// initialVoterIDs returns the members at the initial voters' addresses, 0 where no durable member is alive there.
func (n *Node) initialVoterIDs() []swim.ID {
	ids := make([]swim.ID, len(n.settings.InitialVoters))
	for i, address := range n.settings.InitialVoters {
		for _, m := range n.members {
			if m.Address == address && !m.State.IsDeadOrLeft() && m.Durable {
				ids[i] = m.ID
			}
		}
	}
	return ids
}

// tickFounding proposes a founding once all initial voters are alive and no known group may still have a live voter.
func (n *Node) tickFounding() {
	index := slices.Index(n.settings.InitialVoters, n.settings.Address)
	if index < 0 || n.founding != nil || n.persistFailed || n.leaving || n.now < n.foundingDueAt {
		return
	}
	ids := n.initialVoterIDs()
	if slices.Contains(ids, 0) || ids[index] != n.self || !n.hasNoLiveGroup() {
		return
	}
	n.foundingDueAt = n.now + foundingRetrySeconds*(1+n.rng.Float64())
	// The random bits of the ballot keep a member that lost its state from proposing another value under a ballot that it used before.
	n.ballotRound = max(n.ballotRound, n.promisedBallot>>32) + 1
	ballot := n.ballotRound<<32 | uint64(n.rng.Uint32()>>8)<<8 | uint64(index)
	n.proposal = &proposal{ballot: ballot, promises: make([]*Founding, len(ids)), accepted: make([]bool, len(ids))}
	for _, id := range ids {
		n.send(id, &Message{Founding: &Founding{Ballot: ballot, Step: StepPrepare}})
	}
}

// hasNoLiveGroup reports whether no known group has a voter that may still be alive.
func (n *Node) hasNoLiveGroup() bool {
	if n.table.Epoch == 0 {
		return true
	}
	if n.now-n.startedAt < groupGoneSeconds {
		return false // members may not have been discovered yet
	}
	for _, id := range n.table.Voters {
		if m := n.memberByID(id); m != nil && (!m.State.IsDeadOrLeft() || n.stateAgeSeconds(m) < groupGoneSeconds) {
			return false
		}
	}
	return true
}

// handleFounding handles one message of the founding. Replies wait until the state that they depend on is on disk.
func (n *Node) handleFounding(from swim.ID, f *Founding) {
	if len(f.Voters) > maxInitialVoters {
		return
	}
	reply := func(answer *Founding) { n.sendAfterPersist(from, &Message{Founding: answer}) }
	switch f.Step {
	case StepQuery:
		if n.founding != nil {
			reply(n.founding)
		}
	case StepChosen:
		n.handleChosen(f)
	case StepPrepare, StepAccept:
		n.handleBallot(f, reply)
	case StepPromise, StepAccepted, StepRejected:
		n.handleFoundingReply(from, f)
	}
}

// handleBallot is the Paxos acceptor of the founding: it promises or accepts a ballot unless it has promised a higher one. A member
// that belongs to a group replies with that group's founding instead.
func (n *Node) handleBallot(f *Founding, reply func(*Founding)) {
	if slices.Index(n.settings.InitialVoters, n.settings.Address) < 0 || n.persistFailed {
		return
	}
	switch {
	case n.founding != nil:
		reply(n.founding)
	case f.Ballot < n.promisedBallot || f.Ballot == n.promisedBallot && f.Step == StepPrepare:
		reply(&Founding{Ballot: n.promisedBallot, Step: StepRejected})
	case f.Step == StepPrepare:
		n.promisedBallot, n.dirty = f.Ballot, true
		promise := &Founding{Ballot: f.Ballot, Step: StepPromise, Epoch: n.highestEpoch}
		if n.acceptedFounding != nil {
			promise.Accepted, promise.Epoch, promise.Voters = n.acceptedFounding.Ballot, n.acceptedFounding.Epoch, n.acceptedFounding.Voters
		}
		reply(promise)
	default:
		n.promisedBallot, n.dirty = f.Ballot, true
		n.acceptedFounding = &Founding{Ballot: f.Ballot, Epoch: f.Epoch, Voters: f.Voters, Step: StepAccepted}
		reply(&Founding{Ballot: f.Ballot, Step: StepAccepted})
	}
}

// handleFoundingReply handles a reply to this member's proposal.
func (n *Node) handleFoundingReply(from swim.ID, f *Founding) {
	n.ballotRound = max(n.ballotRound, f.Ballot>>32)
	p := n.proposal
	ids := n.initialVoterIDs()
	index := slices.Index(ids, from)
	if p == nil || index < 0 || f.Ballot != p.ballot || n.founding != nil {
		return
	}
	switch {
	case f.Step == StepPromise && p.value == nil:
		p.promises[index] = f
		if slices.Contains(p.promises, nil) {
			return
		}
		value := &Founding{Ballot: p.ballot, Voters: ids, Step: StepAccept}
		best := uint64(0)
		for _, a := range p.promises {
			if a.Accepted > best {
				best, value.Epoch, value.Voters = a.Accepted, a.Epoch, a.Voters
			} else if best == 0 {
				value.Epoch = max(value.Epoch, a.Epoch+1)
			}
		}
		p.value = value
		for _, id := range ids {
			n.send(id, &Message{Founding: value})
		}
	case f.Step == StepAccepted && p.value != nil:
		p.accepted[index] = true
		if slices.Contains(p.accepted, false) {
			return
		}
		c := *p.value
		c.Step = StepChosen
		for _, id := range ids {
			n.send(id, &Message{Founding: &c})
		}
	}
}

// handleChosen records that a group is founded, and joins it if this member is one of its voters.
func (n *Node) handleChosen(f *Founding) {
	if f.Epoch < n.highestEpoch || f.Epoch == 0 || n.founding != nil && n.founding.Epoch >= f.Epoch || len(f.Voters) < 3 {
		return
	}
	founding := *f
	n.highestEpoch, n.proposal, n.dirty = f.Epoch, nil, true
	// A member that was added later joins once a leader of the group has sent it Raft messages.
	if slices.Contains(f.Voters, n.self) || n.contactedEpoch == f.Epoch {
		n.joinGroup(&founding)
	}
}

// joinGroup makes this member part of a group.
func (n *Node) joinGroup(f *Founding) {
	n.founding, n.group = f, nil
	if err := n.startGroup(nil, nil, nil); err != nil {
		n.replaceIdentity(err.Error())
		return
	}
	n.actions.Log("joined the voters", "epoch", f.Epoch)
}

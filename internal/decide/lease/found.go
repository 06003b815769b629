package lease

import (
	"slices"

	"hazelwheel/internal/decide/swim"
)

// The steps of the founding.
const (
	stepPrepare uint8 = iota
	stepPromise
	stepAccept
	stepAccepted
	stepChosen
	stepRefused
	stepAsked // for the founding of the group that the other is in
)

// proposal is what a proposer of the founding is at.
type proposal struct {
	ballot   uint64
	promises []*Founding // by place in Settings.Electors
	accepted []bool
	value    *Founding // nil: not all have promised
}

const (
	foundingCheckIntervalSeconds = 0.5  // between two looks whether all are there
	foundingRetrySeconds         = 2.0  // between two proposals, with as much again drawn
	groupGoneSeconds             = 60.0 // all electors of a group that is known must be gone before another is founded
	maxInitialVoters             = 7
)

// initialVoterIDs returns the members at the listed addresses, 0 where there is none that lives and keeps its state.
func (t *Node) initialVoterIDs() []swim.ID {
	ids := make([]swim.ID, len(t.settings.InitialVoters))
	for i, address := range t.settings.InitialVoters {
		for _, m := range t.members {
			if m.Address == address && !m.State.IsDeadOrLeft() && m.Durable {
				ids[i] = m.ID
			}
		}
	}
	return ids
}

// tickFounding proposes a founding where all are there and nobody has.
func (t *Node) tickFounding() {
	place := slices.Index(t.settings.InitialVoters, t.settings.Address)
	if place < 0 || t.founding != nil || t.persistFailed || t.leaving || t.now < t.foundingDueAt {
		return
	}
	ids := t.initialVoterIDs()
	if slices.Contains(ids, 0) || ids[place] != t.self || !t.hasNoLiveGroup() {
		return
	}
	t.foundingDueAt = t.now + foundingRetrySeconds*(1+t.rng.Float64())
	// Danger: one that forgot its state must never propose another value under a ballot that it has used before.
	t.ballotRound = max(t.ballotRound, t.promisedBallot>>32) + 1
	b := t.ballotRound<<32 | uint64(t.rng.Uint32()>>8)<<8 | uint64(place)
	t.proposal = &proposal{ballot: b, promises: make([]*Founding, len(ids)), accepted: make([]bool, len(ids))}
	for _, id := range ids {
		t.send(id, &Message{Founding: &Founding{Ballot: b, Step: stepPrepare}})
	}
}

// hasNoLiveGroup tells that no group is known that may still live.
func (t *Node) hasNoLiveGroup() bool {
	if t.table.Epoch == 0 {
		return true
	}
	if t.now-t.startedAt < groupGoneSeconds {
		return false // not all may have been met yet
	}
	for _, id := range t.table.Voters {
		if m := t.memberByID(id); m != nil && (!m.State.IsDeadOrLeft() || t.stateAgeSeconds(m) < groupGoneSeconds) {
			return false
		}
	}
	return true
}

// handleFounding takes a word of the founding.
func (t *Node) handleFounding(from swim.ID, f *Founding) {
	if len(f.Voters) > maxInitialVoters {
		return
	}
	answer := func(a *Founding) { t.sendAfterPersist(from, &Message{Founding: a}) }
	switch f.Step {
	case stepAsked:
		if t.founding != nil {
			answer(t.founding)
		}
	case stepChosen:
		t.handleChosen(f)
	case stepPrepare, stepAccept:
		if slices.Index(t.settings.InitialVoters, t.settings.Address) < 0 || t.persistFailed {
			return
		}
		switch {
		case t.founding != nil:
			answer(t.founding)
		case f.Ballot < t.promisedBallot || f.Ballot == t.promisedBallot && f.Step == stepPrepare:
			answer(&Founding{Ballot: t.promisedBallot, Step: stepRefused})
		case f.Step == stepPrepare:
			t.promisedBallot, t.dirty = f.Ballot, true
			a := &Founding{Ballot: f.Ballot, Step: stepPromise, Epoch: t.highestEpoch}
			if t.acceptedFounding != nil {
				a.Accepted, a.Epoch, a.Voters = t.acceptedFounding.Ballot, t.acceptedFounding.Epoch, t.acceptedFounding.Voters
			}
			answer(a)
		default:
			t.promisedBallot, t.dirty = f.Ballot, true
			t.acceptedFounding = &Founding{Ballot: f.Ballot, Epoch: f.Epoch, Voters: f.Voters, Step: stepAccepted}
			answer(&Founding{Ballot: f.Ballot, Step: stepAccepted})
		}
	case stepPromise, stepAccepted, stepRefused:
		t.handleFoundingReply(from, f)
	}
}

// handleFoundingReply takes an answer to a proposal of this member.
func (t *Node) handleFoundingReply(from swim.ID, f *Founding) {
	t.ballotRound = max(t.ballotRound, f.Ballot>>32)
	p := t.proposal
	ids := t.initialVoterIDs()
	place := slices.Index(ids, from)
	if p == nil || place < 0 || f.Ballot != p.ballot || t.founding != nil {
		return
	}
	switch {
	case f.Step == stepPromise && p.value == nil:
		p.promises[place] = f
		if slices.Contains(p.promises, nil) {
			return
		}
		value := &Founding{Ballot: p.ballot, Voters: ids, Step: stepAccept}
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
			t.send(id, &Message{Founding: value})
		}
	case f.Step == stepAccepted && p.value != nil:
		p.accepted[place] = true
		if slices.Contains(p.accepted, false) {
			return
		}
		c := *p.value
		c.Step = stepChosen
		for _, id := range ids {
			t.send(id, &Message{Founding: &c})
		}
	}
}

// handleChosen takes that a group is founded. Who is named in it takes part.
func (t *Node) handleChosen(f *Founding) {
	if f.Epoch < t.highestEpoch || f.Epoch == 0 || t.founding != nil && t.founding.Epoch >= f.Epoch || len(f.Voters) < 3 {
		return
	}
	known := *f
	t.highestEpoch, t.proposal, t.dirty = f.Epoch, nil, true
	// Who is not among the founders takes part once a leader of the group has spoken to it as to one who does.
	if slices.Contains(f.Voters, t.self) || t.contactedEpoch == f.Epoch {
		t.joinGroup(&known)
	}
}

// joinGroup takes part in a group from now on.
func (t *Node) joinGroup(f *Founding) {
	t.founding, t.group = f, nil
	if err := t.startGroup(nil, nil, nil); err != nil {
		t.replaceIdentity(err.Error())
		return
	}
	t.actions.Log("this member is an elector", "epoch", f.Epoch)
}

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
	lookS    = 0.5  // between two looks whether all are there
	foundS   = 2.0  // between two proposals, with as much again drawn
	goneS    = 60.0 // all electors of a group that is known must be gone before another is founded
	mostList = 7
)

// listed returns the members at the listed addresses, 0 where there is none that lives and keeps its state.
func (t *Node) listed() []swim.ID {
	ids := make([]swim.ID, len(t.set.InitialVoters))
	for i, address := range t.set.InitialVoters {
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
	place := slices.Index(t.set.InitialVoters, t.set.Address)
	if place < 0 || t.founding != nil || t.unkept || t.leaving || t.now < t.foundAt {
		return
	}
	ids := t.listed()
	if slices.Contains(ids, 0) || ids[place] != t.self || !t.noGroup() {
		return
	}
	t.foundAt = t.now + foundS*(1+t.rng.Float64())
	// Danger: one that forgot its state must never propose another value under a ballot that it has used before.
	t.round = max(t.round, t.promised>>32) + 1
	b := t.round<<32 | uint64(t.rng.Uint32()>>8)<<8 | uint64(place)
	t.proposal = &proposal{ballot: b, promises: make([]*Founding, len(ids)), accepted: make([]bool, len(ids))}
	for _, id := range ids {
		t.send(id, &Message{Founding: &Founding{Ballot: b, Step: stepPrepare}})
	}
}

// noGroup tells that no group is known that may still live.
func (t *Node) noGroup() bool {
	if t.table.Epoch == 0 {
		return true
	}
	if t.now-t.began < goneS {
		return false // not all may have been met yet
	}
	for _, id := range t.table.Voters {
		if m := t.member(id); m != nil && (!m.State.IsDeadOrLeft() || t.sinceS(m) < goneS) {
			return false
		}
	}
	return true
}

// hearFounding takes a word of the founding.
func (t *Node) hearFounding(from swim.ID, f *Founding) {
	if len(f.Voters) > mostList {
		return
	}
	answer := func(a *Founding) { t.sendKept(from, &Message{Founding: a}) }
	switch f.Step {
	case stepAsked:
		if t.founding != nil {
			answer(t.founding)
		}
	case stepChosen:
		t.chosen(f)
	case stepPrepare, stepAccept:
		if slices.Index(t.set.InitialVoters, t.set.Address) < 0 || t.unkept {
			return
		}
		switch {
		case t.founding != nil:
			answer(t.founding)
		case f.Ballot < t.promised || f.Ballot == t.promised && f.Step == stepPrepare:
			answer(&Founding{Ballot: t.promised, Step: stepRefused})
		case f.Step == stepPrepare:
			t.promised, t.dirty = f.Ballot, true
			a := &Founding{Ballot: f.Ballot, Step: stepPromise, Epoch: t.epoch}
			if t.accepted != nil {
				a.Accepted, a.Epoch, a.Voters = t.accepted.Ballot, t.accepted.Epoch, t.accepted.Voters
			}
			answer(a)
		default:
			t.promised, t.dirty = f.Ballot, true
			t.accepted = &Founding{Ballot: f.Ballot, Epoch: f.Epoch, Voters: f.Voters, Step: stepAccepted}
			answer(&Founding{Ballot: f.Ballot, Step: stepAccepted})
		}
	case stepPromise, stepAccepted, stepRefused:
		t.answered(from, f)
	}
}

// answered takes an answer to a proposal of this member.
func (t *Node) answered(from swim.ID, f *Founding) {
	t.round = max(t.round, f.Ballot>>32)
	p := t.proposal
	ids := t.listed()
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

// chosen takes that a group is founded. Who is named in it takes part.
func (t *Node) chosen(f *Founding) {
	if f.Epoch < t.epoch || f.Epoch == 0 || t.founding != nil && t.founding.Epoch >= f.Epoch || len(f.Voters) < 3 {
		return
	}
	known := *f
	t.epoch, t.proposal, t.dirty = f.Epoch, nil, true
	// Who is not among the founders takes part once a leader of the group has spoken to it as to one who does.
	if slices.Contains(f.Voters, t.self) || t.called == f.Epoch {
		t.join(&known)
	}
}

// join takes part in a group from now on.
func (t *Node) join(f *Founding) {
	t.founding, t.group = f, nil
	if err := t.enterGroup(nil, nil, nil); err != nil {
		t.renounce(err.Error())
		return
	}
	t.do.Log("this member is an elector", "epoch", f.Epoch)
}

package reconfiguration_test

import (
	"fmt"

	"hazelwheel/internal/decide/register"
)

// change makes one round after the other until one ends with an outcome or the time is over.
func (w *world) change(n *node, change register.Change, until float64, done func(round *register.Proposal)) {
	known := w.known(n)
	if w.now > until || len(known.Voters) == 0 {
		done(nil)
		return
	}
	n.round = max(n.round, n.acceptor.State().Promised.Number) + 1
	ballot := register.Ballot{Number: n.round, Proposer: fmt.Sprintf("%s/%d", n.address, n.life)}
	round, step := register.NewProposal(ballot, known, change)
	round.SetKnownChosen(n.proven)
	ended := false
	var carryOut func(register.Step)
	carryOut = func(step register.Step) {
		if ended {
			return
		}
		if step.Done {
			ended = true
			n.round = max(n.round, round.HighestPromised.Number)
			switch round.Outcome {
			case register.Chosen, register.Rejected:
				w.found(n, round.Value, round.ChosenAt)
				done(round)
			case register.Confirmed:
				w.found(n, round.Value, round.ChosenAt)
				w.change(n, change, until, done)
			default:
				w.after(0.02+0.1*w.rng.Float64(), w.alive(n, func() { w.change(n, change, until, done) }))
			}
			return
		}
		for _, voter := range step.SendPrepare {
			var promise register.PrepareReply
			w.askVoter(n, voter, func(to *node) (next *register.State) {
				next, promise = to.acceptor.HandlePrepare(register.PrepareRequest{To: voter.ID, Ballot: ballot})
				return next
			}, func() { carryOut(round.HandlePrepareReply(voter, promise)) }, func() { carryOut(round.HandleNoReply(voter, false)) })
		}
		for _, voter := range step.SendAccept {
			var accepted register.AcceptReply
			w.askVoter(n, voter, func(to *node) (next *register.State) {
				next, accepted = to.acceptor.HandleAccept(register.AcceptRequest{To: voter.ID, Ballot: ballot, Value: round.Value.Clone()}, true)
				return next
			}, func() { carryOut(round.HandleAcceptReply(voter, accepted)) }, func() { carryOut(round.HandleNoReply(voter, true)) })
		}
	}
	carryOut(step)
}

// askVoter has a voter answer once what it has changed is on its disk.
func (w *world) askVoter(n *node, voter register.Voter, handle func(to *node) *register.State, answered, lost func()) {
	w.call(n, voter.Address, func(to *node) { w.store(to, handle(to)) }, func(ok bool) {
		if ok {
			answered()
		} else {
			lost()
		}
	})
}

// found notes a value that was chosen.
func (w *world) found(n *node, value register.Value, at register.Ballot) {
	if at.Compare(n.proven) > 0 {
		n.proven = at
	}
	if at.Compare(w.newestAt) > 0 {
		w.newestAt = at
	}
	w.takeTold(n, register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters})
	n.hearGrant(value.GrantFor(roleName), nil)
}

// read returns the value that holds, or false.
func (w *world) read(n *node, until float64, done func(value register.Value, at register.Ballot, ok bool)) {
	known := w.known(n)
	if len(known.Voters) == 0 {
		done(register.Value{}, register.Ballot{}, false)
		return
	}
	reading, step := register.NewQuorumRead(known)
	ended := false
	var carryOut func(register.Step)
	carryOut = func(step register.Step) {
		if ended {
			return
		}
		if step.Done {
			ended = true
			if reading.Outcome == register.Chosen {
				w.found(n, reading.Value, reading.ChosenAt)
				done(reading.Value, reading.ChosenAt, true)
				return
			}
			w.change(n, register.NoChange, until, func(round *register.Proposal) {
				if round == nil {
					done(register.Value{}, register.Ballot{}, false)
				} else {
					done(round.Value, round.ChosenAt, true)
				}
			})
			return
		}
		for _, voter := range step.SendPrepare {
			var promise register.PrepareReply
			w.askVoter(n, voter, func(to *node) *register.State {
				promise = to.acceptor.HandleRead(register.ReadRequest{To: voter.ID})
				return nil
			}, func() { carryOut(reading.HandleReadReply(voter, promise)) }, func() { carryOut(reading.HandleNoReply()) })
		}
	}
	carryOut(step)
}

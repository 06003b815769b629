package reconfiguration_test

import (
	"fmt"

	"hazelwheel/internal/decide/register"
)

// change makes proposals until one has a definite outcome. done gets nil if that takes longer than until.
func (s *simulation) change(n *node, change register.Change, until float64, done func(proposal *register.Proposal)) {
	s.changeConfig(n, change, register.Digest{}, until, done)
}

// changeConfig is change for a change to the configuration with the digest config.
func (s *simulation) changeConfig(n *node, change register.Change, config register.Digest, until float64, done func(proposal *register.Proposal)) {
	s.propose(n, change, config, until, &register.Backoff{}, done)
}

// retryDelay returns the delay after an undecided proposal. Histories that were recorded with the earlier, fixed range of delays
// keep it.
func (s *simulation) retryDelay(backoff *register.Backoff, tookSeconds float64) float64 {
	if !s.hasFixedDelays {
		return backoff.NextDelay(tookSeconds, s.rng.Float64())
	}
	return 0.02 + 0.1*s.rng.Float64()
}

// propose is changeConfig with the backoff of the earlier proposals of the same change.
func (s *simulation) propose(n *node, change register.Change, config register.Digest, until float64, backoff *register.Backoff, done func(proposal *register.Proposal)) {
	startedAt := s.now
	known := s.newestVoters(n)
	if s.now > until || len(known.Voters) == 0 {
		done(nil)
		return
	}
	n.highestBallot = max(n.highestBallot, n.acceptor.State().Promised.Number) + 1
	ballot := register.Ballot{Number: n.highestBallot, Proposer: fmt.Sprintf("%s/%d", n.address, n.incarnation)}
	proposal, step := register.NewProposal(ballot, known, change)
	proposal.SetKnownChosen(n.knownChosen)
	ended, open := false, 0
	var carryOut func(register.Step)
	replied := func(step register.Step) {
		open--
		if step.IsEmpty() {
			step = proposal.EndIfPreempted(func(v register.Voter) bool { return s.isRecent(n, v.Address) })
		}
		carryOut(step)
		s.checkEnds("proposal", n, ended, open)
	}
	carryOut = func(step register.Step) {
		if ended {
			return
		}
		open += len(step.SendPrepare) + len(step.SendAccept) + len(step.SendConfig)
		if step.Done {
			ended = true
			n.highestBallot = max(n.highestBallot, proposal.HighestPromised.Number)
			switch proposal.Outcome {
			case register.Chosen, register.Rejected:
				s.recordChosen(n, proposal.Value, proposal.ChosenAt)
				done(proposal)
			case register.Confirmed:
				s.recordChosen(n, proposal.Value, proposal.ChosenAt)
				s.propose(n, change, config, until, backoff, done)
			default:
				again := s.whileRunning(n, func() { s.propose(n, change, config, until, backoff, done) })
				s.after(s.retryDelay(backoff, s.now-startedAt), again)
			}
			return
		}
		for _, voter := range step.SendPrepare {
			var promise register.PrepareReply
			s.callVoter(n, voter, func(to *node) (next *register.State) {
				next, promise = to.acceptor.HandlePrepare(register.PrepareRequest{To: voter.ID, Ballot: ballot})
				return next
			}, func() { replied(proposal.HandlePrepareReply(voter, promise)) }, func() { replied(proposal.HandleNoReply(voter, false)) })
		}
		for _, voter := range step.SendAccept {
			s.sendAccept(n, voter, proposal, s.inlineConfig(proposal, config), replied)
		}
		for _, voter := range step.SendConfig {
			s.sendConfig(n, voter, proposal, config, replied)
		}
	}
	carryOut(step)
}

// callVoter calls a voter, which persists the state that handle returns and then replies.
func (s *simulation) callVoter(n *node, voter register.Voter, handle func(to *node) *register.State, onReply, onNoReply func()) {
	s.call(n, voter.Address, func(to *node) { s.store(to, handle(to), register.Digest{}) }, func(ok bool) {
		if ok {
			onReply()
		} else {
			onNoReply()
		}
	})
}

// recordChosen records that a node has found a value chosen.
func (s *simulation) recordChosen(n *node, value register.Value, at register.Ballot) {
	if n.joinTarget == (register.Ballot{}) {
		n.joinTarget = at
	}
	if at.Compare(n.knownChosen) > 0 {
		n.knownChosen = at
	}
	if at.Compare(s.newestChosenAt) > 0 {
		s.newestChosenAt = at
	}
	s.mergeVoters(n, register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters})
	n.mergeGrant(value.GrantFor(roleName), nil)
}

// read reads the chosen value; done gets false if no value was found by until.
func (s *simulation) read(n *node, until float64, done func(value register.Value, at register.Ballot, ok bool)) {
	known := s.newestVoters(n)
	if len(known.Voters) == 0 {
		done(register.Value{}, register.Ballot{}, false)
		return
	}
	read, step := register.NewQuorumRead(known)
	ended, open := false, 0
	var carryOut func(register.Step)
	replied := func(step register.Step) {
		open--
		carryOut(step)
		s.checkEnds("read", n, ended, open)
	}
	carryOut = func(step register.Step) {
		if ended {
			return
		}
		open += len(step.SendPrepare)
		if step.Done {
			ended = true
			if read.Outcome == register.Chosen {
				s.recordChosen(n, read.Value, read.ChosenAt)
				done(read.Value, read.ChosenAt, true)
				return
			}
			s.change(n, register.NoChange, until, func(proposal *register.Proposal) {
				if proposal == nil {
					done(register.Value{}, register.Ballot{}, false)
				} else {
					done(proposal.Value, proposal.ChosenAt, true)
				}
			})
			return
		}
		for _, voter := range step.SendPrepare {
			var promise register.PrepareReply
			s.callVoter(n, voter, func(to *node) *register.State {
				promise = to.acceptor.HandleRead(register.ReadRequest{To: voter.ID})
				return nil
			}, func() { replied(read.HandleReadReply(voter, promise)) }, func() { replied(read.HandleNoReply()) })
		}
	}
	carryOut(step)
}

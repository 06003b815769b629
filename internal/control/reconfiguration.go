package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/reconfiguration"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
)

const (
	// reconfigurationInterval is the time between checks of whether the set of voters has to change.
	reconfigurationInterval = 150 * time.Millisecond
	// learnTimeout bounds the request to one learner.
	learnTimeout = 700 * time.Millisecond
	// reconfigurationPause is an additional pause after an attempt that changed nothing.
	reconfigurationPause = 250 * time.Millisecond
)

// runReconfiguration replaces voters that have failed or are leaving, and adds new control processes to the voters. Voters take turns at it
// by their rank (see reconfiguration.StaggeredTimer). Two at once do no harm, since only one change of an epoch can be chosen.
func (c *Control) runReconfiguration(ctx context.Context) {
	var timer reconfiguration.StaggeredTimer
	var learners reconfiguration.LearnerTargets
	startedAt := time.Now()
	for sleep(ctx, reconfigurationInterval) == nil {
		gossipState, _ := c.node.State()
		candidates := reconfiguration.AddReachableVoters(&gossipState.Voters, c.candidates(), c.isReachable)
		isNeeded := reconfiguration.IsNeeded(&gossipState.Voters, candidates, c.targetVoters())
		rank, isVoter := reconfiguration.Rank(c.proposer.self.ID, &gossipState.Voters, reconfiguration.IsLiveVoter(candidates))
		if !timer.IsDue(time.Since(startedAt).Seconds(), isNeeded && isVoter, rank) {
			learners.Reset()
			continue
		}
		changed, err := c.reconfigure(ctx, &learners)
		if err != nil {
			c.log.WithError(err).Warn("the voters could not be changed")
		}
		if !changed && sleep(ctx, reconfigurationPause) != nil {
			return
		}
	}
}

// reconfigure makes the next change of the voters that is needed, or completes one that is in progress. It decides by the value that it
// reads from a majority; the voters that gossip carries only determine when it is called.
func (c *Control) reconfigure(ctx context.Context, learners *reconfiguration.LearnerTargets) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	value, err := c.proposer.read(ctx)
	if err != nil {
		return false, err
	}
	if len(value.OutgoingVoters) == 0 {
		assumed := reconfiguration.AddReachableVoters(&value.Value, c.candidates(), c.isReachable)
		candidates := c.queryLearners(ctx, value, assumed, learners)
		next, isNeeded := register.NextVoters(value.Voters, candidates, c.targetVoters())
		if !isNeeded {
			return false, nil
		}
		if changed, err = c.changeVoters(ctx, register.BeginReconfiguration(value.Epoch, next)); err != nil || !changed {
			return changed, err
		}
	}
	return c.changeVoters(ctx, register.CompleteReconfiguration)
}

// changeVoters proposes one change of the voters. It returns false if another process has changed them in the meantime.
func (c *Control) changeVoters(ctx context.Context, change register.Change) (bool, error) {
	value, outcome, err := c.proposer.propose(ctx, change, nil)
	if err != nil || outcome != register.Chosen {
		return false, err
	}
	c.log.WithFields(logrus.Fields{"epoch": value.Epoch, "voters": len(value.Voters), "before": len(value.OutgoingVoters)}).Info("voters changed")
	return true, nil
}

// queryLearners sends the chosen value to the live candidates that don't vote, in parallel, and sets CaughtUp of those that reply that they
// are up to date. The others start to fetch the value.
func (c *Control) queryLearners(ctx context.Context, value chosenValue, candidates []register.Candidate, learners *reconfiguration.LearnerTargets) []register.Candidate {
	queried := map[register.Voter]bool{}
	var queries sync.WaitGroup
	for i := range candidates {
		candidate := &candidates[i]
		if slices.Contains(value.Voters, candidate.Voter) || !candidate.Alive || candidate.Leaving {
			continue
		}
		queried[candidate.Voter] = true
		minBallot := learners.Target(candidate.Voter, value.Ballot)
		queries.Go(func() { candidate.CaughtUp = c.queryLearner(ctx, candidate.Voter, value, minBallot) })
	}
	queries.Wait()
	learners.Retain(func(candidate register.Voter) bool { return queried[candidate] })
	return candidates
}

// queryLearner sends the chosen value to one candidate and returns whether it holds the value of minBallot or a later one.
func (c *Control) queryLearner(ctx context.Context, voter register.Voter, value chosenValue, minBallot register.Ballot) bool {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	request := &message.LearnRequest{To: voter.ID, Ballot: value.Ballot, Value: value.Value, MinBallot: minBallot}
	reply := &message.LearnReply{}
	if voter.Address == c.proposer.self.Address {
		return false // a process that doesn't vote is added by one that does
	}
	if err := c.proposer.client.Call(ctx, voter.Address, learnPath, request, reply); err != nil {
		c.log.WithField("peer", voter.Address).WithError(err).Debug("learner query failed")
		return false
	}
	return reply.UpToDate
}

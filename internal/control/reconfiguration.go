package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/decide/reconfiguration"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
)

const (
	// upkeepEvery is the time between looks at the voters.
	reconfigurationInterval = 150 * time.Millisecond
	// learnWithin bounds the question whether a newcomer holds the newest value.
	learnTimeout = 700 * time.Millisecond
	// upkeepAgain is the pause after a try that changed nothing.
	reconfigurationPause = 250 * time.Millisecond
	// leavePart is the part of the grace period for which a voter that ends stays for others to take its place.
	leaveFraction      = 0.4
	leaveCheckInterval = 50 * time.Millisecond
	// leaveReadTimeout bounds the read of the voters by a process that ends.
	leaveReadTimeout = 500 * time.Millisecond
)

// upkeep has lost voters replaced and newcomers join.
func (c *Control) runReconfiguration(ctx context.Context) {
	var turns reconfiguration.StaggeredTimer
	var learners reconfiguration.LearnerTargets
	startedAt := time.Now()
	for sleep(ctx, reconfigurationInterval) == nil {
		facts, _ := c.node.State()
		candidates := reconfiguration.AddReachableVoters(&facts.Voters, c.candidates(), c.isReachable)
		needed := reconfiguration.IsNeeded(&facts.Voters, candidates, c.targetVoters())
		rank, votes := reconfiguration.Rank(c.proposer.self.ID, &facts.Voters, reconfiguration.IsLiveVoter(candidates))
		if !turns.IsDue(time.Since(startedAt).Seconds(), needed && votes, rank) {
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

// mendVoters makes the next change of the voters that is needed. It goes by what a majority says, never by what is told of it.
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
		next, needed := register.NextVoters(value.Voters, candidates, c.targetVoters())
		if !needed {
			return false, nil
		}
		if changed, err = c.changeVoters(ctx, register.BeginReconfiguration(value.Epoch, next)); err != nil || !changed {
			return changed, err
		}
	}
	return c.changeVoters(ctx, register.CompleteReconfiguration)
}

// changeVoters makes one change. It returns false where another process has changed the voters meanwhile.
func (c *Control) changeVoters(ctx context.Context, change register.Change) (bool, error) {
	value, outcome, err := c.proposer.propose(ctx, change, nil)
	if err != nil || outcome != register.Chosen {
		return false, err
	}
	c.log.WithField("epoch", value.Epoch).WithField("voters", len(value.Voters)).WithField("before", len(value.OutgoingVoters)).Info("voters changed")
	return true, nil
}

// askLearners asks the live candidates that don't vote whether what they hold is new enough. Those that lack the newest value fetch it.
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

func (c *Control) queryLearner(ctx context.Context, voter register.Voter, value chosenValue, minBallot register.Ballot) bool {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	request := &message.LearnRequest{To: voter.ID, Ballot: value.Ballot, Value: value.Value, MinBallot: minBallot}
	reply := &message.LearnReply{}
	if voter.Address == c.proposer.self.Address {
		return false // a process that doesn't vote leaves its joining to those that do
	}
	if err := c.proposer.client.Call(ctx, voter.Address, learnPath, request, reply); err != nil {
		c.log.WithField("peer", voter.Address).WithError(err).Debug("a newcomer did not answer")
		return false
	}
	return reply.UpToDate
}

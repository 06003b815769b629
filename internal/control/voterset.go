package control

import (
	"slices"
	"time"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
)

// targetVoters returns the number of voters that the settings require to tolerate the failures in FaultTolerance.
func (c *Control) targetVoters() int { return c.settings.FaultTolerance.MinVoters() }

// isReachable reports whether a voter has answered this process recently. The process itself counts as reachable.
func (c *Control) isReachable(voter register.Voter) bool {
	return voter.Address == c.proposer.self.Address || c.node.IsReachable(voter.Address)
}

// reachesMajority reports whether a majority of the known voters is reachable. While no voters are known it returns true, since
// nothing indicates a partition.
func (c *Control) reachesMajority() bool {
	known, err := c.proposer.knownVoters()
	return err != nil || known.HasQuorum(c.isReachable)
}

// quorumReplyAge returns the age of the oldest reply among the latest replies of a majority of the known voters, of both sets during a
// reconfiguration. A majority has received a heartbeat of this process since then. It is 0 while no voters are known.
func (c *Control) quorumReplyAge() time.Duration {
	known, err := c.proposer.knownVoters()
	if err != nil {
		return 0
	}
	return max(c.majorityReplyAge(known.Voters), c.majorityReplyAge(known.OutgoingVoters))
}

// majorityReplyAge returns the smallest age that the last replies of a majority of a set don't exceed, 0 if the set is empty.
func (c *Control) majorityReplyAge(voters []register.Voter) time.Duration {
	if len(voters) == 0 {
		return 0
	}
	ages := make([]time.Duration, 0, len(voters))
	for _, voter := range voters {
		age := time.Duration(0)
		if voter.Address != c.proposer.self.Address {
			age = c.node.ReplyAge(voter.Address)
		}
		ages = append(ages, age)
	}
	slices.Sort(ages)
	return ages[len(ages)/2]
}

// candidates returns the known control processes. CaughtUp is false in all of them.
func (c *Control) candidates() (candidates []register.Candidate) {
	for _, member := range c.node.Members() {
		if member.Kind != membership.Control || member.VoterID == "" {
			continue
		}
		voter := register.Voter{ID: member.VoterID, Address: member.Address}
		candidates = append(candidates, register.Candidate{Voter: voter, Alive: member.Alive && c.isReachable(voter), Leaving: member.Leaving})
	}
	return candidates
}

// isVoter reports whether this process is a voter of a value, in the current or the outgoing set.
func (c *Control) isVoter(value *register.Value) bool {
	for _, voter := range value.AllVoters() {
		if voter.ID == c.proposer.self.ID {
			return true
		}
	}
	return false
}

// countStaying returns the number of other control processes that are alive and not leaving.
func (c *Control) countStaying() (count int) {
	for _, candidate := range c.candidates() {
		if candidate.ID != c.proposer.self.ID && candidate.Alive && !candidate.Leaving {
			count++
		}
	}
	return count
}

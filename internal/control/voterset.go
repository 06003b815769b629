package control

import (
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
)

// wantedVoters is the number of voters of which so many may be lost at once as the settings say.
func (c *Control) targetVoters() int { return c.settings.FaultTolerance.MinVoters() }

// inTouch tells whether a voter has answered this process lately.
func (c *Control) isReachable(voter register.Voter) bool {
	return voter.Address == c.proposer.self.Address || c.node.IsReachable(voter.Address)
}

// reachesMajority tells whether this process is in touch with a majority of the voters that it knows.
func (c *Control) reachesMajority() bool {
	known, err := c.proposer.knownVoters()
	return err != nil || known.HasQuorum(c.isReachable)
}

// candidates returns the control processes that are known. Those that are alive count as not caught up.
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

func (c *Control) isVoter(value *register.Value) bool {
	for _, voter := range value.AllVoters() {
		if voter.ID == c.proposer.self.ID {
			return true
		}
	}
	return false
}

// othersStaying counts the other control processes that are there and go on.
func (c *Control) countStaying() (count int) {
	for _, candidate := range c.candidates() {
		if candidate.ID != c.proposer.self.ID && candidate.Alive && !candidate.Leaving {
			count++
		}
	}
	return count
}

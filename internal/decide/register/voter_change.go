package register

import "slices"

// BeginReconfiguration returns the change that starts a reconfiguration to other voters. It applies to a value of the given
// epoch if no reconfiguration is in progress. Until CompleteReconfiguration, decisions need majorities of both sets.
func BeginReconfiguration(epoch uint64, voters []Voter) Change {
	return func(current Value) (Value, bool) {
		if current.Epoch != epoch || len(current.OutgoingVoters) > 0 || len(voters) == 0 {
			return current, false
		}
		current.Epoch++
		current.OutgoingVoters, current.Voters = current.Voters, slices.Clone(voters)
		return current, true
	}
}

// CompleteReconfiguration is the change that ends a reconfiguration: the outgoing voters no longer vote.
func CompleteReconfiguration(current Value) (Value, bool) {
	if len(current.OutgoingVoters) == 0 {
		return current, false
	}
	current.Epoch++
	current.OutgoingVoters = nil
	return current, true
}

// Candidate is a control process that votes or could vote.
type Candidate struct {
	Voter
	Alive    bool // it was reachable recently
	Leaving  bool // it is shutting down gracefully
	CaughtUp bool // its disk holds the newest value and the bytes of its configuration; only used for processes that don't vote
}

// canJoin reports whether a candidate that doesn't vote may become a voter.
func (c *Candidate) canJoin() bool { return c.Alive && c.CaughtUp && !c.Leaving }

// NextVoters returns the next set of voters, and whether the voters should be changed to it. All candidates that have caught up
// join. Voters that are leaving, are unreachable or have lost their disk are kept only while there would otherwise be fewer
// than desired voters; leaving ones are kept first, then unreachable ones, then those without their disk.
func NextVoters(current []Voter, candidates []Candidate, desired int) ([]Voter, bool) {
	var next, leaving, unreachable, replaced []Voter
	for _, voter := range current {
		switch candidate := FindLiveCandidate(voter, candidates); {
		case candidate != nil && candidate.Leaving:
			leaving = append(leaving, voter)
		case candidate != nil:
			next = append(next, voter)
		case isReplaced(voter, candidates):
			replaced = append(replaced, voter)
		default:
			unreachable = append(unreachable, voter)
		}
	}
	hasJoined := false
	for _, candidate := range candidates {
		if candidate.canJoin() && !slices.Contains(current, candidate.Voter) {
			next, hasJoined = append(next, candidate.Voter), true
		}
	}
	reserve := slices.Concat(leaving, unreachable, replaced)
	next = append(next, reserve[:min(max(desired-len(next), 0), len(reserve))]...)
	return next, (hasJoined || len(next) < len(current)) && len(next) > 0
}

// FindLiveCandidate returns the live candidate with the identity and address of a voter, or nil if there is none.
func FindLiveCandidate(voter Voter, candidates []Candidate) *Candidate {
	for i := range candidates {
		if candidates[i].Alive && candidates[i].Voter == voter {
			return &candidates[i]
		}
	}
	return nil
}

// isReplaced reports whether a live candidate has another identity at a voter's address, which means that the voter's disk was
// lost.
func isReplaced(voter Voter, candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		return c.Alive && c.Address == voter.Address && c.ID != voter.ID
	})
}

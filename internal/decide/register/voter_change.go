package register

import "slices"

// BeginReconfiguration returns the change to other voters, of the epoch after the given one. Both sets decide until Settle.
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

// CompleteReconfiguration is the change that lets the new voters decide alone.
func CompleteReconfiguration(current Value) (Value, bool) {
	if len(current.OutgoingVoters) == 0 {
		return current, false
	}
	current.Epoch++
	current.OutgoingVoters = nil
	return current, true
}

// Candidate is a control process that could vote.
type Candidate struct {
	Voter
	Alive    bool // heard of lately
	Leaving  bool // about to end
	CaughtUp bool // holds the newest value and the bytes of its configuration on its disk; asked only of those that don't vote
}

// joins tells whether a candidate that doesn't vote may.
func (c *Candidate) joins() bool { return c.Alive && c.CaughtUp && !c.Leaving }

// NextVoters decides on the next set of voters: candidates that have caught up join; voters leave that lost their disk, that are
// about to end or that are silent, in this order, while as many as wanted are left. It returns false where nothing is to be changed.
func NextVoters(current []Voter, candidates []Candidate, wanted int) ([]Voter, bool) {
	var next, leaving, silent, replaced []Voter
	for _, voter := range current {
		switch candidate := FindLiveCandidate(voter, candidates); {
		case candidate != nil && candidate.Leaving:
			leaving = append(leaving, voter)
		case candidate != nil:
			next = append(next, voter)
		case replacedBy(voter, candidates):
			replaced = append(replaced, voter)
		default:
			silent = append(silent, voter)
		}
	}
	joined := false
	for _, candidate := range candidates {
		if candidate.joins() && !slices.Contains(current, candidate.Voter) {
			next, joined = append(next, candidate.Voter), true
		}
	}
	// Those that can't vote for long stay only while fewer than wanted are left without them.
	spare := slices.Concat(leaving, silent, replaced)
	next = append(next, spare[:min(max(wanted-len(next), 0), len(spare))]...)
	return next, (joined || len(next) < len(current)) && len(next) > 0
}

// FindLiveCandidate returns the live candidate that is a voter by its identity, nil if there is none.
func FindLiveCandidate(voter Voter, candidates []Candidate) *Candidate {
	for i := range candidates {
		if candidates[i].Alive && candidates[i].Voter == voter {
			return &candidates[i]
		}
	}
	return nil
}

// replacedBy tells whether another identity lives at a voter's address.
func replacedBy(voter Voter, candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		return c.Alive && c.Address == voter.Address && c.ID != voter.ID
	})
}

package reconfiguration

import (
	"slices"
	"strings"

	"hazelwheel/internal/decide/register"
)

// Rank returns the rank of a process among the live voters, itself included, in the order of their identities. self is the
// process's identity. It returns false for a process that doesn't vote.
func Rank(self string, value *register.Value, isLive func(register.Voter) bool) (int, bool) {
	var ids []string
	for _, voter := range value.AllVoters() {
		if voter.ID == self || isLive(voter) {
			ids = append(ids, voter.ID)
		}
	}
	slices.SortFunc(ids, strings.Compare)
	rank := slices.Index(ids, self)
	return rank, rank >= 0
}

// IsNeeded reports whether the voters should be changed: a reconfiguration is not complete, or a candidate may join or a
// voter may leave. Candidates that don't vote count as caught up; the process that changes the voters asks them whether they are.
func IsNeeded(value *register.Value, candidates []register.Candidate, desired int) bool {
	if len(value.Voters) == 0 {
		return false
	}
	if len(value.OutgoingVoters) > 0 {
		return true
	}
	assumed := slices.Clone(candidates)
	for i := range assumed {
		assumed[i].CaughtUp = true
	}
	_, changed := register.NextVoters(value.Voters, assumed, desired)
	return changed
}

// AddReachableVoters returns the candidates and, as alive, each voter that counts as reachable and at whose address no
// candidate is known. Danger: a process that has just started has not learned of the others yet. Without this it would take
// live voters for unreachable ones and let a new candidate replace them instead of those that are dead; every voter that is
// left would then be needed for a majority, and changes would be slow.
func AddReachableVoters(value *register.Value, candidates []register.Candidate, isReachable func(register.Voter) bool) []register.Candidate {
	all := slices.Clone(candidates)
	for _, voter := range value.AllVoters() {
		isKnown := slices.ContainsFunc(candidates, func(c register.Candidate) bool { return c.Address == voter.Address })
		if !isKnown && isReachable(voter) {
			all = append(all, register.Candidate{Voter: voter, Alive: true})
		}
	}
	return all
}

// IsLiveVoter returns a predicate that reports whether a voter is alive with its identity. Danger: a machine that lost its
// disk has another identity at the same address. If it counted as the voter that it was, it would get a rank at which
// no process acts.
func IsLiveVoter(candidates []register.Candidate) func(register.Voter) bool {
	return func(voter register.Voter) bool { return register.FindLiveCandidate(voter, candidates) != nil }
}

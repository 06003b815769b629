package reconfiguration

import (
	"slices"
	"strings"

	"hazelwheel/internal/decide/register"
)

// Rank returns the index of a process among the live voters in the order of their identities, and false if the process doesn't
// vote. self is the identity of the process, which counts as live.
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
// voter may leave. It assumes that all candidates have caught up; the process that changes the voters queries them first.
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
// candidate is known. Danger: a process that has just started doesn't know the others yet. Without this it would treat live
// voters as unreachable and replace them by a new candidate, instead of the dead ones. A majority would then need every live
// voter that is left, and changes would be slow.
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
// disk has another identity at the same address. If its old identity counted as live, that would get a rank, and no process
// would act at this rank.
func IsLiveVoter(candidates []register.Candidate) func(register.Voter) bool {
	return func(voter register.Voter) bool { return register.FindLiveCandidate(voter, candidates) != nil }
}

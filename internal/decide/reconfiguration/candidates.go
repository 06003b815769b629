package reconfiguration

import (
	"slices"
	"strings"

	"hazelwheel/internal/decide/register"
)

// Rank returns the place of a process among the voters that are alive, itself among them, by their identities. It returns false for a
// process that doesn't vote.
func Rank(self string, value *register.Value, alive func(register.Voter) bool) (int, bool) {
	var ids []string
	for _, voter := range value.AllVoters() {
		if voter.ID == self || alive(voter) {
			ids = append(ids, voter.ID)
		}
	}
	slices.SortFunc(ids, strings.Compare)
	rank := slices.Index(ids, self)
	return rank, rank >= 0
}

// IsNeeded tells whether the voters should be changed: a change is not finished, or there is somebody to join or to leave.
// Candidates that don't vote count as caught up here; whether they are is asked by who changes the voters.
func IsNeeded(value *register.Value, candidates []register.Candidate, wanted int) bool {
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
	_, changed := register.NextVoters(value.Voters, assumed, wanted)
	return changed
}

// AddReachableVoters returns the candidates and, as alive, each voter at whose address none is known though it still counts as in touch. Danger: a
// process that has just begun has heard of nobody yet. It would take live voters for silent ones and, with a newcomer at hand, have them
// leave in place of those that are dead; a majority then hangs on each one that is left, and changes come slowly.
func AddReachableVoters(value *register.Value, candidates []register.Candidate, inTouch func(register.Voter) bool) []register.Candidate {
	all := slices.Clone(candidates)
	for _, voter := range value.AllVoters() {
		known := slices.ContainsFunc(candidates, func(c register.Candidate) bool { return c.Address == voter.Address })
		if !known && inTouch(voter) {
			all = append(all, register.Candidate{Voter: voter, Alive: true})
		}
	}
	return all
}

// IsLiveVoter tells of a voter whether it is there by its identity. Danger: a machine that lost its disk has another identity at the same
// address. Counted as the voter that it was, it would have a turn that it can't take.
func IsLiveVoter(candidates []register.Candidate) func(register.Voter) bool {
	return func(voter register.Voter) bool { return register.FindLiveCandidate(voter, candidates) != nil }
}

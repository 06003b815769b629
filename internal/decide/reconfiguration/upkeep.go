// Package reconfiguration decides which control process looks after the voters of the register, and when. There is no leader: each voter
// has its turn, in an order that all derive from whom they are in touch with, and the turns of those that fail pass by themselves.
// It is pure; time comes as seconds on the process's steady clock.
package reconfiguration

import (
	"maps"
	"slices"
	"strings"

	"hazelwheel/internal/decide/register"
)

// turnS is how long a process has for its turn before the next one tries as well, in seconds.
const turnS = 0.7

// StaggeredTimer keeps for how long a change of the voters has been needed.
type StaggeredTimer struct {
	needed bool
	since  float64
}

// IsDue tells whether it is this process's turn: the process of rank 0 acts at once, each next one where the need is still there a
// turn later. Danger: two processes may act at the same time. Changes of the register allow that; turns only make it rare.
func (t *StaggeredTimer) IsDue(now float64, needed bool, rank int) bool {
	if !needed {
		t.needed = false
		return false
	}
	if !t.needed {
		t.needed, t.since = true, now
	}
	return now-t.since >= turnS*float64(rank)
}

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

// LearnerTargets keeps what each candidate that is asked must hold to vote: the value that was chosen when it was asked first, or a later one.
// Danger: to ask for the newest one each time is a target that moves with each change, and a candidate that is as fast as all others
// would never meet it. What is chosen meanwhile it learns as a voter does that was passed over by some rounds.
type LearnerTargets struct {
	since map[register.Voter]register.Ballot
}

// Target returns the ballot of the value that a candidate must hold, or a later one. newest is that of the value chosen last.
func (l *LearnerTargets) Target(candidate register.Voter, newest register.Ballot) register.Ballot {
	if l.since == nil {
		l.since = map[register.Voter]register.Ballot{}
	}
	if since, asked := l.since[candidate]; asked {
		return since
	}
	l.since[candidate] = newest
	return newest
}

// Retain forgets all that are not asked any longer, so that one that comes back has to hold what is chosen then.
func (l *LearnerTargets) Retain(asked func(candidate register.Voter) bool) {
	maps.DeleteFunc(l.since, func(candidate register.Voter, _ register.Ballot) bool { return !asked(candidate) })
}

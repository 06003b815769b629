package reconfiguration

import (
	"maps"

	"hazelwheel/internal/decide/register"
)

// LearnerTargets stores the target of each candidate that is queried whether it has caught up: the ballot of the value that it
// must hold, which is the newest chosen value at the first query. The zero value is ready for use.
//
// Danger: if the target moved with each change, a candidate that is no faster than the voters would never reach it. Values that
// are chosen after the target reach the candidate once it votes, as they reach a voter that missed some proposals. A target must
// not be kept when the queries end, though: the caller calls Reset while it is not its turn to query. Otherwise a candidate that
// returns later would become a voter with an old value.
type LearnerTargets struct {
	targets map[register.Voter]register.Ballot
}

// Target returns the lowest ballot of a value with which a candidate counts as caught up. newest is the ballot of the newest
// chosen value; it becomes the target of a candidate that is queried for the first time.
func (l *LearnerTargets) Target(candidate register.Voter, newest register.Ballot) register.Ballot {
	if l.targets == nil {
		l.targets = map[register.Voter]register.Ballot{}
	}
	if target, ok := l.targets[candidate]; ok {
		return target
	}
	l.targets[candidate] = newest
	return newest
}

// Retain drops the targets of candidates that are no longer queried. A candidate that returns gets a new target.
func (l *LearnerTargets) Retain(isContacted func(candidate register.Voter) bool) {
	maps.DeleteFunc(l.targets, func(candidate register.Voter, _ register.Ballot) bool { return !isContacted(candidate) })
}

// Reset drops all targets. The caller calls it while no change of the voters is needed or another process makes it.
func (l *LearnerTargets) Reset() { l.targets = nil }

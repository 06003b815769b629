package reconfiguration

import (
	"maps"

	"hazelwheel/internal/decide/register"
)

// LearnerTargets keeps, for each candidate that is asked whether it has caught up, the ballot of the value that it must hold:
// the value that was chosen last when it was first asked. The zero value is ready for use.
//
// Danger: a target that moves with each change would never be reached by a candidate that is no faster than the voters. What
// is chosen after the target it learns as a voter does that missed some proposals. A target must not outlive the questions, though: the
// caller forgets all targets by Reset while it is not its turn to ask, or a candidate that returns is held to what was chosen long ago.
type LearnerTargets struct {
	targets map[register.Voter]register.Ballot
}

// Target returns the ballot of the value that a candidate must hold, or of a later one. newest is the ballot of the value
// that was chosen last; it becomes the target of a candidate that is asked for the first time.
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

// Retain forgets the candidates that are not asked any longer. One that returns gets a new target.
func (l *LearnerTargets) Retain(isContacted func(candidate register.Voter) bool) {
	maps.DeleteFunc(l.targets, func(candidate register.Voter, _ register.Ballot) bool { return !isContacted(candidate) })
}

// Reset forgets all candidates. It is called while no change of the voters is needed or another process is to make it.
func (l *LearnerTargets) Reset() { l.targets = nil }

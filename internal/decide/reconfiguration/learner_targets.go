package reconfiguration

import (
	"maps"

	"hazelwheel/internal/decide/register"
)

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

package reconfiguration

import "hazelwheel/internal/decide/register"

// FetchOrder orders the voters that a process asks for the bytes of a configuration: those whose last call failed come last. The zero value
// is ready for use.
//
// Danger: voters keep the newest configurations alone. A process that asks a voter which is gone first, each time, gets its time-out, and by
// then the others have newer ones: while changes keep coming it never catches up.
type FetchOrder struct {
	failed map[register.Voter]bool
}

// Sort returns the voters in the order in which they are to be asked.
func (o *FetchOrder) Sort(voters []register.Voter) []register.Voter {
	sorted := make([]register.Voter, 0, len(voters))
	for _, hasFailed := range []bool{false, true} {
		for _, voter := range voters {
			if o.failed[voter] == hasFailed {
				sorted = append(sorted, voter)
			}
		}
	}
	return sorted
}

// Record notes whether a voter has replied. A reply that it does not have the bytes is one.
func (o *FetchOrder) Record(voter register.Voter, replied bool) {
	if replied {
		delete(o.failed, voter)
		return
	}
	if o.failed == nil {
		o.failed = map[register.Voter]bool{}
	}
	o.failed[voter] = true
}

package reconfiguration

import "hazelwheel/internal/decide/register"

// FetchOrder orders the voters that a process asks for the bytes of a configuration: those whose last call failed come last. The
// zero value is ready for use.
//
// Danger: voters keep only the newest configurations. A process that always asks an unreachable voter first waits for its timeout,
// and by then the other voters have dropped the configuration for newer ones. While changes keep coming it never catches up.
type FetchOrder struct {
	failed map[register.Voter]bool
}

// Sort returns the voters in the order in which to ask them.
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

// Record records whether a voter has replied. A reply that it doesn't have the bytes counts as a reply.
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

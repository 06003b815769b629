package lease

import "hazelwheel/internal/decide/swim"

// Settings configure a Node. They do not change during its lifetime.
type Settings struct {
	// InitialVoters are the addresses, as others dial them, of the 3, 5 or 7 members that found the group. The list must be the same on
	// all members. It is only used to found the group: voters that are gone for good are replaced without it. An empty list disables
	// grants: no role has a holder.
	InitialVoters []string
	Address       string   // of this member
	Roles         []string // the roles that need a holder; this member can hold each of them
	RecordedRoles []string // those of Roles that have a Record
	// Seed must differ for each process: the boot ID is drawn from it, by which a process tells its own grants from those of the process
	// that ran before it under the same identity.
	Seed uint64
}

// Member is the status of a member, as package swim reports it.
type Member struct {
	ID              swim.ID
	Address         string
	State           swim.State
	Durable         bool    // the member stores its identity on disk, and so can vote
	StateAgeSeconds float64 // since State last changed
}

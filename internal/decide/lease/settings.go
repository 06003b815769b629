package lease

import "hazelwheel/internal/decide/swim"

// Settings configure a Node. They do not change during its lifetime.
type Settings struct {
	// InitialVoters are the addresses, as others dial them, of the 3, 5 or 7 members that found the group. The list is the same on all
	// members and is used once: voters that leave for good are replaced without it. Empty disables grants: no role has a holder.
	InitialVoters []string
	Address       string   // of this member
	Roles         []string // that this member can hold, and that need a holder
	RecordedRoles []string // those of Roles that have a Record
	// Seed must differ for each process: the boot ID is drawn from it, and a process must not go on under its predecessor's grants.
	Seed uint64
}

// Member is the status of a member, as package swim reports it.
type Member struct {
	ID              swim.ID
	Address         string
	State           swim.State
	Durable         bool    // it stores its identity on disk, and so can vote
	StateAgeSeconds float64 // since State last changed
}

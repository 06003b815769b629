package lease

import "hazelwheel/internal/decide/swim"

// Settings are what a Tenure is told at its start.
type Settings struct {
	// Electors are the addresses of 3, 5 or 7 members that found the group together, once, each as others dial it. They are
	// the same at all members; those that come and go for good later take each other's place without it. Empty: there are no
	// electors, and nobody owns anything.
	InitialVoters []string
	Address       string   // of this member
	Roles         []string // that this member can do, and wants owned; by name
	RecordedRoles []string // of these, such as have a record
	Seed          uint64   // drawn anew by each process: what one life was granted the next must not go on with
}

// Member is what is known of one, from the decisions about who is there.
type Member struct {
	ID              swim.ID
	Address         string
	State           swim.State
	Durable         bool    // its identity is on disk: it can be an elector
	StateAgeSeconds float64 // for how long the state has held
}

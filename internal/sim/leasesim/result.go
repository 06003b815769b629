package leasesim

// Counts are what a day was about.
type Counts struct {
	Grants         int `json:"Grants"`   // leases that began
	Moves          int `json:"Moves"`    // of these: to another member than before
	Effects        int `json:"Effects"`  // that were taken
	Rejected       int `json:"Refused"`  // that came under a token lower than one taken before
	Stalls         int `json:"Stalls"`   // between the check of a lease and the effect
	ElectionsWon   int `json:"Elected"`  // leaders
	IdentitiesLost int `json:"Lost"`     // identities that ended with their state
	GroupsFounded  int `json:"Founded"`  // groups
	VotersReplaced int `json:"Replaced"` // electors
}

// Result is what came of a day.
type Result struct {
	Seed     uint64    `json:"seed"`
	Findings []Finding `json:"findings,omitempty"`
	Hash     uint64    `json:"hash"` // of the history: equal seeds give equal ones
	Steps    uint64    `json:"steps"`
	Counts   Counts    `json:"counts"`
	Gaps     []Gap     `json:"-"`
}

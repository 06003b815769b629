package leasesim

// Counts sums up what happened in a run.
type Counts struct {
	Grants         int `json:"Grants"`  // leases that started
	Moves          int `json:"Moves"`   // of these: on another node than the role's last one
	Effects        int `json:"Effects"` // applied by receivers
	Rejected       int `json:"Refused"` // effects under a token lower than one seen before
	Stalls         int `json:"Stalls"`  // of a process between checking its lease and sending
	ElectionsWon   int `json:"Elected"` // terms with a leader
	IdentitiesLost int `json:"Lost"`    // with their state
	GroupsFounded  int `json:"Founded"` // epochs with a leader
	VotersReplaced int `json:"Replaced"`
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64    `json:"seed"`
	Findings []Finding `json:"findings,omitempty"`
	Hash     uint64    `json:"hash"` // of the history; equal for equal seeds
	Steps    uint64    `json:"steps"`
	Counts   Counts    `json:"counts"`
	Gaps     []Gap     `json:"-"`
}

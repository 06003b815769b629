package processcluster

import "hazelwheel/internal/environment"

// Report is the result of a run. Its JSON is stored by users and stays as it is.
type Report struct {
	Sidecars           int                 `json:"sidecars"`
	Seed               uint64              `json:"seed"`
	DurationSeconds    float64             `json:"for_s"`
	Faults             []environment.Fault `json:"troubles,omitempty"` // the script
	ViolationCount     int                 `json:"broken"`             // also of violations that are not listed
	Violations         []Violation         `json:"findings,omitempty"`
	Service            float64             `json:"service"`            // fraction of the priority weight served in time
	LoopLateSeconds    float64             `json:"loop_late_s"`        // the greatest lateness of the play's own loop
	PeerBytesPerSecond float64             `json:"peer_bytes_per_s"`   // sent to peers, for each sidecar
	AgreedSeconds      []float64           `json:"agreed_s,omitempty"` // from each last fault until all members agreed on the membership
	DetectedSeconds    []float64           `json:"known_s,omitempty"`  // from each exit or stop of a process until all other members knew of it
	Rounds             []Round             `json:"rounds,omitempty"`
	Roles              *RoleReport         `json:"owned,omitempty"`
	Maintenance        *MaintenanceReport  `json:"worked,omitempty"`
	Trials             []Trial             `json:"trials,omitempty"`
	Views              int                 `json:"views"` // of members that were polled
}

// Violation is a violation of a rule. Sidecar is empty if it concerns the whole cluster.
type Violation struct {
	Rule      string  `json:"rule"`
	AtSeconds float64 `json:"at_s"`
	Sidecar   string  `json:"sidecar"`
	Reason    string  `json:"why"`
}

// Round is the result of polling all members once.
type Round struct {
	AtSeconds float64 `json:"at_s"`
	Running   int     `json:"there"` // sidecars whose processes run
	MinAlive  int     `json:"least"` // the least and the greatest number that a member held for alive
	MaxAlive  int     `json:"most"`
}

package processcluster

import "hazelwheel/internal/environment"

// Report is what came of it.
type Report struct {
	Sidecars           int                 `json:"sidecars"`
	Seed               uint64              `json:"seed"`
	DurationSeconds    float64             `json:"for_s"`
	Faults             []environment.Fault `json:"troubles,omitempty"`
	ViolationCount     int                 `json:"broken"`
	Violations         []Violation         `json:"findings,omitempty"`
	Service            float64             `json:"service"`
	LoopLateSeconds    float64             `json:"loop_late_s"`        // how late the laboratory's own loop was at most
	PeerBytesPerSecond float64             `json:"peer_bytes_per_s"`   // of a sidecar
	AgreedSeconds      []float64           `json:"agreed_s,omitempty"` // after each calm's begin, until all held what was so
	DetectedSeconds    []float64           `json:"known_s,omitempty"`  // of each process that was killed or stood still, until all others knew
	Rounds             []Round             `json:"rounds,omitempty"`
	Roles              *RoleReport         `json:"owned,omitempty"`
	Maintenance        *MaintenanceReport  `json:"worked,omitempty"`
	Trials             []Trial             `json:"trials,omitempty"`
	Views              int                 `json:"views"` // that were asked for and came
}

// Finding is one break of a rule.
type Violation struct {
	Rule      string  `json:"rule"`
	AtSeconds float64 `json:"at_s"`
	Sidecar   string  `json:"sidecar"`
	Reason    string  `json:"why"`
}

// Round is what one look at all doors has shown.
type Round struct {
	AtSeconds float64 `json:"at_s"`
	Running   int     `json:"there"` // sidecars that were
	MinAlive  int     `json:"least"` // that any of them held for alive
	MaxAlive  int     `json:"most"`
}

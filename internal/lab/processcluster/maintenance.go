package processcluster

import (
	"fmt"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/lab/maintenanceagent"
)

// Work is what is to be done to boxes while a fleet is played.
type Maintenance struct {
	Spec     maintenance.Spec
	Scripted bool // by a script that calls at every door, box by box, with fixed waits; nobody is asked for an order
}

// Worked is what came of it.
type MaintenanceReport struct {
	Servers         int                       `json:"boxes"`
	Done            int                       `json:"done"`
	Skipped         int                       `json:"skipped"`
	Lost            int                       `json:"lost"`
	Ended           bool                      `json:"ended"`
	StartedSeconds  float64                   `json:"began_s"`
	TotalSeconds    float64                   `json:"total_s"`          // from when it was given to its end, or until the day's
	WorstTenSeconds float64                   `json:"worst_10_s"`       // least part of the worth that was served in time, of ten seconds
	WorstAtSeconds  float64                   `json:"worst_10_s_at"`    // when they began
	Attempts        int                       `json:"asked"`            // tries, while it went on
	Rejected        int                       `json:"refused"`          // of these
	SentByReturning int                       `json:"gone_sent"`        // requests to a box that was worked on, of sidecars that had counted as gone
	FailedCalls     int                       `json:"unheeded"`         // calls by hand that a door did not take
	Error           string                    `json:"error,omitempty"`  // why it was not taken
	Records         []maintenanceagent.Record `json:"records"`          // by whom it was worked on
	Stages          []StageChange             `json:"stages,omitempty"` // of boxes, as doors told of them
	Violations      []string                  `json:"wrong,omitempty"`
	Blockers        []maintenance.Blocker     `json:"waits,omitempty"`  // what was waited for at the end
	BlockedSeconds  map[string]float64        `json:"held_s,omitempty"` // for how long the plan, or a box, waited for what
	FailedPolls     int                       `json:"untold"`           // looks at the doors at which nobody said anything
	violationCount  int
}

// StageChange is a box that has come to a stage.
type StageChange struct {
	AtSeconds float64           `json:"at_s"`
	Server    string            `json:"box"`
	Stage     maintenance.Stage `json:"stage"`
}

func (r *MaintenanceReport) reportViolation(rule checker.Rule, format string, args ...any) {
	if len(r.Violations) < 30 {
		r.Violations = append(r.Violations, string(rule)+": "+fmt.Sprintf(format, args...))
	}
	r.violationCount++
}

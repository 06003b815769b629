package processcluster

import (
	"fmt"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/lab/maintenanceagent"
)

// Maintenance is the maintenance of servers during a run.
type Maintenance struct {
	Spec     maintenance.Spec // of the plan
	Scripted bool             // instead of the plan, a script cordons server by server at every admin endpoint, with fixed waits
}

// MaintenanceReport is the result of the maintenance. Times are seconds since the start of the day.
type MaintenanceReport struct {
	Servers         int                       `json:"boxes"`
	Done            int                       `json:"done"`
	Skipped         int                       `json:"skipped"`
	Lost            int                       `json:"lost"`
	Ended           bool                      `json:"ended"`
	StartedSeconds  float64                   `json:"began_s"`          // when the plan was submitted
	TotalSeconds    float64                   `json:"total_s"`          // duration from there to its end, or to that of the day
	WorstTenSeconds float64                   `json:"worst_10_s"`       // the lowest fraction of the priority weight served in time during ten seconds
	WorstAtSeconds  float64                   `json:"worst_10_s_at"`    // when these seconds began
	Attempts        int                       `json:"asked"`            // of requests while the maintenance went on
	Rejected        int                       `json:"refused"`          // attempts answered with 429 or 503
	SentByReturning int                       `json:"gone_sent"`        // requests to a server in maintenance from sidecars that had counted as dead
	FailedCalls     int                       `json:"unheeded"`         // calls of the script that an admin endpoint did not accept
	Error           string                    `json:"error,omitempty"`  // why the plan was rejected
	Records         []maintenanceagent.Record `json:"records"`          // of the agents or the script
	Stages          []StageChange             `json:"stages,omitempty"` // of servers, as admin endpoints reported them
	Violations      []string                  `json:"wrong,omitempty"`
	Blockers        []maintenance.Blocker     `json:"waits,omitempty"`  // at the end
	BlockedSeconds  map[string]float64        `json:"held_s,omitempty"` // by reason: how long the plan or a server was blocked
	FailedPolls     int                       `json:"untold"`           // queries of admin endpoints without a valid answer
	violationCount  int
}

// StageChange is the change of a server to a stage.
type StageChange struct {
	AtSeconds float64           `json:"at_s"`
	Server    string            `json:"box"`
	Stage     maintenance.Stage `json:"stage"`
}

// maxMaintenanceViolations is the number of violations that a report holds in detail; all are counted.
const maxMaintenanceViolations = 30

// reportViolation records a violation of a rule.
func (r *MaintenanceReport) reportViolation(rule checker.Rule, format string, args ...any) {
	if len(r.Violations) < maxMaintenanceViolations {
		r.Violations = append(r.Violations, string(rule)+": "+fmt.Sprintf(format, args...))
	}
	r.violationCount++
}

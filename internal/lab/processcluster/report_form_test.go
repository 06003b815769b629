package processcluster

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/lab/maintenanceagent"
)

// TestReportForm fixes the JSON of a report to the bytes of testdata/report.json.
func TestReportForm(t *testing.T) {
	report := Report{
		Sidecars: 1, Seed: 2, DurationSeconds: 3.5, ViolationCount: 4, Violations: []Violation{{Rule: "r", AtSeconds: 5.5, Sidecar: "n0", Reason: "why"}}, Service: 0.5, LoopLateSeconds: 6.5,
		PeerBytesPerSecond: 7.5, AgreedSeconds: []float64{8.5}, DetectedSeconds: []float64{9.5}, Rounds: []Round{{AtSeconds: 10.5, Running: 11, MinAlive: 12, MaxAlive: 13}},
		Roles: &RoleReport{Violations: []string{"w"}, Confirmations: 14, Effects: 15, Stale: 16, Rejected: 17, StaleByOwner: 18, Grants: 19, WithoutOwnerSeconds: []float64{20.5}},
		Maintenance: &MaintenanceReport{
			Servers: 21, Done: 22, Skipped: 23, Lost: 24, Ended: true, StartedSeconds: 25.5, TotalSeconds: 26.5, WorstTenSeconds: 0.27, WorstAtSeconds: 28.5, Attempts: 29, Rejected: 30,
			SentByReturning: 31, FailedCalls: 32, Error: "error", Records: []maintenanceagent.Record{{Server: "a"}},
			Stages: []StageChange{{AtSeconds: 33.5, Server: "a", Stage: maintenance.Done}}, Violations: []string{"w"}, Blockers: []maintenance.Blocker{{Reason: "reason"}},
			BlockedSeconds: map[string]float64{"reason": 34.5}, FailedPolls: 35,
		},
		Trials: []Trial{{Fault: "kill", Target: "owner", AtSeconds: 36.5, HasMoved: true, KnownSeconds: 37.5}}, Views: 38,
	}
	golden, err := os.ReadFile("testdata/report.json")
	require.NoError(t, err)
	encoded, err := json.Marshal(report)
	require.NoError(t, err)
	require.Equal(t, string(golden), string(encoded)+"\n")
	var decoded Report
	require.NoError(t, json.Unmarshal(golden, &decoded))
	require.Equal(t, report, decoded)
}

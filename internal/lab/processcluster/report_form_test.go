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
		Sidecars: 1, Seed: 2, ForS: 3.5, Broken: 4, Findings: []Finding{{Rule: "r", AtS: 5.5, Sidecar: "n0", Why: "why"}}, Service: 0.5, LateS: 6.5,
		PeerBytes: 7.5, AgreedS: []float64{8.5}, KnownS: []float64{9.5}, Rounds: []Round{{AtS: 10.5, There: 11, Least: 12, Most: 13}},
		Owned: &Owned{Wrong: []string{"w"}, Confirms: 14, Effects: 15, Old: 16, Refused: 17, Late: 18, Grants: 19, WithoutS: []float64{20.5}},
		Worked: &Worked{
			Boxes: 21, Done: 22, Skipped: 23, Lost: 24, Ended: true, BeganS: 25.5, TotalS: 26.5, WorstS10: 0.27, WorstAtS: 28.5, Asked: 29, Refused: 30,
			GoneSent: 31, Unheeded: 32, Error: "error", Records: []maintenanceagent.Record{{Server: "a"}},
			Stages: []StageChange{{AtS: 33.5, Box: "a", Stage: maintenance.Done}}, Wrong: []string{"w"}, Waits: []maintenance.Blocker{{Reason: "reason"}},
			HeldS: map[string]float64{"reason": 34.5}, Untold: 35,
		},
		Trials: []Trial{{What: "kill", Who: "owner", AtS: 36.5, Moved: true, KnownS: 37.5}}, Views: 38,
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

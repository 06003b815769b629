package soak

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReportForm fixes the JSON of a report, which scripts of operators read line by line, to the bytes of testdata/report.json.
func TestReportForm(t *testing.T) {
	report := Result{Seed: 1, Processes: 2, Seconds: 3.5, Requests: 4, Outcomes: map[string]int{"200": 5}, LastVersion: 6, AddedRoutes: 7,
		ScenarioCounts: map[string]int{"restart": 8}, KillAllCount: 9, ReplacedServers: 10, ResumedFeeds: 11, HungUpEarly: 12,
		SlowestChangeSeconds: 13.5, SlowestVoteSeconds: 14.5,
		Violations: map[Rule][]string{ResourcesBounded: {"a case"}}}
	golden, err := os.ReadFile("testdata/report.json")
	require.NoError(t, err)
	encoded, err := json.Marshal(report)
	require.NoError(t, err)
	require.Equal(t, string(golden), string(encoded)+"\n")
	var decoded Result
	require.NoError(t, json.Unmarshal(golden, &decoded))
	require.Equal(t, report, decoded)
}

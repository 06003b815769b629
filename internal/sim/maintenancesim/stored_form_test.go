package maintenancesim

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The tally keeps the form in which commands print it.
func TestTallyForm(t *testing.T) {
	tally := Tally{Counts: Counts{Plans: 1, WorkStarted: 2, Done: 3, Skipped: 4, Lost: 5, Forced: 6, GivenBack: 7, Leases: 8, HolderFaults: 9, StaleWrites: 10}}
	tally.Add(&Result{Seed: 11, Steps: 12, Hash: 13, Findings: []Finding{{At: 14.5, Rule: RuleWarmUp, Why: "b01 leaves"}}, Counts: Counts{Plans: 1}})
	want, err := os.ReadFile("testdata/tally.json")
	require.NoError(t, err)
	got, err := json.MarshalIndent(&tally, "", "\t")
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got)+"\n")
}

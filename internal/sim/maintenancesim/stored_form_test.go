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
	tally := Tally{Counts: Counts{Plans: 1, Worked: 2, Done: 3, Skipped: 4, Lost: 5, Forced: 6, Backed: 7, Owners: 8, Stopped: 9, Refused: 10}}
	tally.Add(&Result{Seed: 11, Steps: 12, Hash: 13, Findings: []Finding{{At: 14.5, Rule: RuleCold, Why: "b01 leaves"}}, Counts: Counts{Plans: 1}})
	want, err := os.ReadFile("testdata/tally.json")
	require.NoError(t, err)
	got, err := json.MarshalIndent(&tally, "", "\t")
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got)+"\n")
}

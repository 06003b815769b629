package leasesim

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"hazelwheel/internal/sim/seeds"
)

// TestResultFormIsKept writes the results that commands print as JSON, all fields set.
func TestResultFormIsKept(t *testing.T) {
	counts := Counts{Grants: 1, Moves: 2, Effects: 3, Rejected: 4, Stalls: 5, ElectionsWon: 6, IdentitiesLost: 7, GroupsFounded: 8, VotersReplaced: 9}
	const countsForm = `"counts":{"Grants":1,"Moves":2,"Effects":3,"Refused":4,"Stalls":5,"Elected":6,"Lost":7,"Founded":8,"Replaced":9}}`
	raw, err := json.Marshal(&Result{Seed: 1, Findings: []Finding{{At: 1.5, Rule: "rule", Why: "why"}}, Hash: 2, Steps: 3, Counts: counts, Gaps: []Gap{{}}})
	require.NoError(t, err)
	require.Equal(t, `{"seed":1,"findings":[{"at":1.5,"rule":"rule","why":"why"}],"hash":2,"steps":3,`+countsForm, string(raw))
	raw, err = json.Marshal(&Tally{Tally: seeds.Tally{Days: 1, Steps: 2, Hash: 3, Broken: []seeds.BrokenRule{{Rule: "rule", Days: 1, Seeds: []uint64{2}}}}, Counts: counts})
	require.NoError(t, err)
	require.Equal(t, `{"days":1,"steps":2,"hash":3,"broken":[{"rule":"rule","days":1,"seeds":[2]}],`+countsForm, string(raw))
}

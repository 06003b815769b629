package maintenanceagent

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecordForm fixes the JSON of records, which is part of printed reports, to the bytes of testdata/record.json.
func TestRecordForm(t *testing.T) {
	start := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	record := Record{Agent: "anna", Server: "a", Token: 7, ForcedReason: "by force", StartedAt: start, EndedAt: start.Add(time.Minute), CompletionErrors: []string{"it has ended"}}
	golden, err := os.ReadFile("testdata/record.json")
	require.NoError(t, err)
	encoded, err := json.Marshal(record)
	require.NoError(t, err)
	require.Equal(t, string(golden), string(encoded)+"\n")
	var decoded Record
	require.NoError(t, json.Unmarshal(golden, &decoded))
	require.Equal(t, record, decoded)
}

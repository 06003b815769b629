package routeconfig_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/routeconfig"
)

// goldenTable is the table of testdata/stored_form/document.json.
var goldenTable = routeconfig.Table{
	Version: 7,
	Routes: []routeconfig.Route{
		{Name: "a", Host: "h", PathPrefix: "/a/", Kind: routeconfig.Streaming, TimeoutMs: 2500, LatencyTargetMs: 300, Priority: 2,
			Services: []routeconfig.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2, Sticky: true, Resumable: true, TokenGapTargetMs: 250},
		{Name: "b", Host: "h", PathPrefix: "/b/", Kind: routeconfig.NonIdempotent, TimeoutMs: 1000.5,
			Services: []routeconfig.WeightedService{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}, MaxAttempts: 1},
		{Name: "c", Host: "h", PathPrefix: "/c/", Kind: routeconfig.Idempotent, TimeoutMs: 10, Services: []routeconfig.WeightedService{{Service: "t", Weight: 1}}, MaxAttempts: 1},
	},
	Services: []routeconfig.Service{
		{Name: "s", HealthPath: "/health", MaxConnections: 350,
			Engine: &routeconfig.Engine{Slots: 64, KVTokens: 765689, KVTokenBytes: 35136, LinkMbps: 1500000, HandleTTLSeconds: 5, StageSwitchSeconds: 1.9}},
		{Name: "t", MaxConnections: 93},
	},
	Limits: routeconfig.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
}

// TestStoredForm pins the bytes of the table that control processes pack and send. Processes of other versions read these bytes.
func TestStoredForm(t *testing.T) {
	table := goldenTable
	for _, value := range []any{table, table.Routes[0], table.Routes[0].Services[0], table.Services[0], *table.Services[0].Engine, table.Limits} {
		fields := reflect.ValueOf(value)
		for i := range fields.NumField() {
			assert.False(t, fields.Field(i).IsZero(), "%T: field %s is zero", value, fields.Type().Field(i).Name)
		}
	}
	text := string(stored(t, "table.hex"))
	golden, err := hex.DecodeString(strings.TrimSpace(text))
	require.NoError(t, err)
	encoded, err := msgpack.Marshal(&table)
	require.NoError(t, err)
	assert.Equal(t, golden, encoded)
	var decoded routeconfig.Table
	require.NoError(t, msgpack.Unmarshal(golden, &decoded))
	assert.Equal(t, table, decoded)
}

// TestStoredDocument pins what a stored document is read as: it is stored and digested as the operator sent it.
func TestStoredDocument(t *testing.T) {
	table, err := routeconfig.Parse(stored(t, "document.json"))
	require.NoError(t, err)
	assert.Equal(t, &goldenTable, table)
	report := routeconfig.Validate(stored(t, "document.json"))
	assert.Empty(t, report.Faults)
	assert.Equal(t, &goldenTable, report.Table)
}

// TestPatchedDocument pins the document that a patch makes of a stored one: its digest is agreed on by voters of other versions.
func TestPatchedDocument(t *testing.T) {
	patch, err := routeconfig.ParsePatch(stored(t, "patch.json"))
	require.NoError(t, err)
	patched, err := patch.Apply(stored(t, "document.json"))
	require.NoError(t, err)
	assert.Equal(t, string(stored(t, "patched.json")), string(patched))
}

func stored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "stored_form", name))
	require.NoError(t, err)
	return data
}

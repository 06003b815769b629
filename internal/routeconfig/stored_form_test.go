package routeconfig_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/routeconfig"
)

// goldenTable is the table that testdata/stored_form/document.json is compiled to.
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

// tenantsTable returns the table that testdata/stored_form/tenants.json is compiled to. Its secret and digest were computed with another
// implementation.
func tenantsTable() routeconfig.Table {
	table, priority := goldenTable, 3
	table.Form = routeconfig.FormTenants
	table.Routes = slices.Clone(table.Routes)
	table.Routes[0].IsPublic = true
	table.KeySecret = apikey.Secret(decodeHex("82a32530d1f685722940428170c65f8992caba4ee2815ddf4c0e37234128f896"))
	table.Tenants = []routeconfig.Tenant{{Name: "acme", Priority: &priority, KeyDigests: []apikey.Digest{apikey.Digest(decodeHex("9dc1b1d1863cc50b640b70c9b486f06f"))}},
		{Name: "bolt"}}
	return table
}

func decodeHex(text string) []byte {
	data, err := hex.DecodeString(text)
	if err != nil {
		panic(err)
	}
	return data
}

// limitsTable returns the table that testdata/stored_form/limits.json is compiled to, but for its secret and digest.
func limitsTable() routeconfig.Table {
	table := tenantsTable()
	table.Form = routeconfig.FormLimits
	table.KeySecret = apikey.NewSecret([]byte("document"))
	table.Tenants[0].Limit = &routeconfig.TenantLimit{RatePerSecond: 675309.5, Burst: 675309, CountsTokens: true, PlainTokens: 200}
	return table
}

// The fields that were added after a golden file was written. They are not set in the table of that file.
var (
	fieldsAfterTable   = []string{"Form", "Tenants", "KeySecret", "IsPublic"}
	fieldsAfterTenants = []string{"Limit"}
)

// TestStoredForm pins the encoding of the tables that control processes pack and send. Processes of other versions read it.
func TestStoredForm(t *testing.T) {
	for _, c := range []struct {
		file  string
		table routeconfig.Table
		later []string
	}{{"table.hex", goldenTable, fieldsAfterTable}, {"tenants.hex", tenantsTable(), fieldsAfterTenants}, {"limits.hex", limitsTable(), nil}} {
		parts := []any{c.table, c.table.Routes[0], c.table.Routes[0].Services[0], c.table.Services[0], *c.table.Services[0].Engine, c.table.Limits}
		if len(c.table.Tenants) > 0 {
			parts = append(parts, c.table.Tenants[0])
		}
		for _, value := range parts {
			fields := reflect.ValueOf(value)
			for i := range fields.NumField() {
				field := fields.Type().Field(i).Name
				assert.Equal(t, slices.Contains(c.later, field), fields.Field(i).IsZero(), "%s: %T: field %s", c.file, value, field)
			}
		}
		golden, err := hex.DecodeString(strings.TrimSpace(string(readStored(t, c.file))))
		require.NoError(t, err)
		encoded, err := msgpack.Marshal(&c.table)
		require.NoError(t, err)
		assert.Equal(t, golden, encoded, c.file)
		var decoded routeconfig.Table
		require.NoError(t, msgpack.Unmarshal(golden, &decoded))
		assert.Equal(t, c.table, decoded, c.file)
	}
}

// TestStoredDocument pins the tables that stored documents are compiled to. Documents are stored as operators sent them, so earlier ones must
// stay readable.
func TestStoredDocument(t *testing.T) {
	withoutTenants := goldenTable
	withoutTenants.Form = routeconfig.LatestForm // which says that the document has no tenants
	withTenants, withLimits := tenantsTable(), limitsTable()
	withTenants.Form = routeconfig.LatestForm
	withTenants.Tenants[0].Limit = &routeconfig.TenantLimit{RatePerSecond: 5} // earlier versions ignore it
	withLimits.KeySecret = apikey.NewSecret(readStored(t, "limits.json"))
	withLimits.Tenants[0].KeyDigests[0] = withLimits.KeySecret.NewDigester().Digest(apikey.New("a-key"))
	for file, want := range map[string]routeconfig.Table{"document.json": withoutTenants, "tenants.json": withTenants, "limits.json": withLimits} {
		table, err := routeconfig.Parse(readStored(t, file))
		require.NoError(t, err)
		assert.Equal(t, &want, table, file)
		chosen, err := routeconfig.ParseChosen(readStored(t, file))
		require.NoError(t, err)
		assert.Equal(t, &want, chosen, file)
		report := routeconfig.Validate(readStored(t, file))
		assert.Empty(t, report.Faults)
		assert.Equal(t, &want, report.Table, file)
	}
}

// TestPatchedDocument pins the bytes of a patched document: voters of all versions must compute the same digest of it.
func TestPatchedDocument(t *testing.T) {
	patch, err := routeconfig.ParsePatch(readStored(t, "patch.json"))
	require.NoError(t, err)
	patched, err := patch.Apply(readStored(t, "document.json"))
	require.NoError(t, err)
	assert.Equal(t, string(readStored(t, "patched.json")), string(patched))
}

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "stored_form", name))
	require.NoError(t, err)
	return data
}

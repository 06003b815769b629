package gossip

import (
	"context"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

// listedServers are the servers in testdata/wire_form/platform_page.json.
var listedServers = []message.Instance{
	{ID: "i-1", Service: "chat", Address: "10.2.0.1:9000", Zone: "north", Slots: 64, Draining: true, Stage: message.Prefill},
	{ID: "i-2", Service: "chat", Address: "10.2.0.2:9000", Zone: "south", Slots: 32, Stage: message.Decode},
}

// TestWireForm pins the encoding of a gossip message. Processes of other versions read it.
func TestWireForm(t *testing.T) {
	voter := register.Voter{ID: "v-1", Address: "10.1.0.16:7720"}
	record := membership.Record{Name: "core-1/control", Kind: membership.Control, Address: "10.1.0.16:7720", Zone: "north", Incarnation: 1700000000000,
		RunID: 3, Heartbeat: 70000, Revision: 12, VoterID: "v-1"}
	first := message.Gossip{
		FormatVersion: message.FormatVersion, Records: []membership.Record{record}, Heartbeats: []membership.Heartbeat{{Key: 7, Counter: 70000}},
		Voters: register.Value{Epoch: 5, Voters: []register.Voter{voter}}, Grants: []register.Grant{{Role: "stages", Holder: "core-1/control", Token: 9}},
		Plan: message.StagePlan{Token: 9, Sequence: 4, Stages: map[string]message.Stage{"i-1": message.Decode}}, ConfigVersion: 300,
		Table: &message.PackedTable{Version: 300, Data: []byte("table")}, List: message.InstanceList{Digest: 1 << 60, AgeMs: 12.5, Data: []byte("list")},
		Loads: []message.Load{{InstanceKey: 7, Running: 3, Waiting: 2, AgeMs: 900}}, NeedsTable: true, NeedsList: true, UpdatesOnly: true,
	}
	checkForm(t, "gossip", first, "ConfigForm", "LatestForm")
	withForms := first
	withForms.ConfigForm, withForms.LatestForm = routeconfig.FormTenants, routeconfig.FormTenants
	checkForm(t, "gossip_with_forms", withForms)
	assert.Equal(t, "/fleet/v1/gossip", gossipPath)
}

// TestListDigest pins the digest of a list, which peers of other versions compare with their own.
func TestListDigest(t *testing.T) {
	assert.Equal(t, uint64(0xcfdacb3bf4ae1f05), endpointsDigest(listedServers))
	assert.Equal(t, uint64(1), endpointsDigest(nil))
}

// TestPlatformPage pins the names of the fields in the platform's list of servers.
func TestPlatformPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("testdata", "wire_form", "platform_page.json"))
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("PageToken") == "next" {
			_, _ = writer.Write([]byte(`{"Instances":[],"NextPageToken":null}`))
			return
		}
		_, _ = writer.Write(page)
	}))
	defer server.Close()
	instances, err := NewPlatformClient(server.Listener.Addr().String()).Instances(context.Background())
	require.NoError(t, err)
	assert.Equal(t, listedServers, instances)
}

// checkForm compares a value's encoding with a golden file, and what the golden file decodes to with the value. laterFields were added after
// the file was written and must not be set in value; all other fields must be set.
func checkForm[T any](t *testing.T, name string, value T, laterFields ...string) {
	t.Helper()
	fields := reflect.ValueOf(value)
	for i := range fields.NumField() {
		field := fields.Type().Field(i).Name
		assert.Equal(t, slices.Contains(laterFields, field), fields.Field(i).IsZero(), "%s: field %s", name, field)
	}
	text, err := os.ReadFile(filepath.Join("testdata", "wire_form", name+".hex"))
	require.NoError(t, err)
	golden, err := hex.DecodeString(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	encoded, err := msgpack.Marshal(value)
	require.NoError(t, err)
	assert.Equal(t, golden, encoded, name)
	var decoded T
	require.NoError(t, msgpack.Unmarshal(golden, &decoded), name)
	assert.Equal(t, value, decoded, name)
}

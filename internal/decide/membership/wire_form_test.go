package membership_test

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

	"hazelwheel/internal/decide/membership"
)

// TestWireForm compares the encoding of the membership messages with golden files. Processes of other versions read these bytes.
func TestWireForm(t *testing.T) {
	demand := membership.Demand{Service: "chat", PrefillTokensPerSecond: 1234.5, DecodeStreams: 17, KVTokens: 98765.25}
	record := membership.Record{
		Name: "core-1/control", Kind: membership.Control, Address: "10.1.0.16:7720", Zone: "north", Incarnation: 1700000000000,
		RunID: 0xfedcba9876543210, Heartbeat: 70000, Revision: 12, Leaving: true, VoterID: "v-1", OperatorAddress: "10.1.0.16:8166", ReleasedToken: 9,
		Demands: []membership.Demand{demand},
	}
	checkForm(t, "demand", demand)
	checkForm(t, "record", record)
	checkForm(t, "heartbeat", membership.Heartbeat{Key: 0xfedcba98, Counter: 70000})
	assert.Equal(t, []membership.Kind{"control", "agent", "gateway"}, []membership.Kind{membership.Control, membership.Agent, membership.Gateway})
}

// TestHeartbeatKey checks the value of the key that matches a heartbeat with its record. Processes of other versions compute the same key.
func TestHeartbeatKey(t *testing.T) {
	self := membership.Record{Name: "self", Kind: membership.Agent, Address: "127.0.0.1:1"}
	view := membership.New(membership.Settings{SuspectAfterSeconds: 3, ForgetAfterSeconds: 12, PartialViewSize: 8, RecordsPerExchange: 12, HeartbeatsPerExchange: 200}, self, nil, nil)
	record := membership.Record{Name: "core-1/control", Kind: membership.Control, Address: "10.1.0.16:7720", RunID: 0xfedcba9876543210, Heartbeat: 7}
	view.MergeRecords(0, []membership.Record{record})
	heartbeats := view.SampleHeartbeats(0)
	require.Len(t, heartbeats, 1)
	assert.Equal(t, membership.Heartbeat{Key: 0x9a55167b, Counter: 7}, heartbeats[0])
}

// checkForm checks that a value encodes to the bytes of a golden file and that these decode to the value. It requires that no field
// is zero, so that the file covers them all.
func checkForm[T any](t *testing.T, name string, value T) {
	t.Helper()
	fields := reflect.ValueOf(value)
	for i := range fields.NumField() {
		field := fields.Type().Field(i)
		assert.True(t, field.Name == "_msgpack" || !fields.Field(i).IsZero(), "%s: field %s is zero", name, field.Name)
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

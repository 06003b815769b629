package register_test

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

	"hazelwheel/internal/decide/register"
)

// TestStoredForm compares the encoding of what voters store and send with golden files. Processes of other versions read these bytes.
func TestStoredForm(t *testing.T) {
	ballot := register.Ballot{Number: 70000, Proposer: "m-1"}
	other := register.Ballot{Number: 69999, Proposer: "m-2"}
	voters := []register.Voter{{ID: "v-1", Address: "10.1.0.16:7720"}, {ID: "v-2", Address: "10.1.0.17:7720"}}
	value := register.Value{
		Epoch: 5, Voters: voters, OutgoingVoters: voters[:1], ConfigVersion: 300, ConfigDigest: register.DigestOf([]byte("configuration")),
		AcceptedChanges: []register.Digest{register.DigestOf([]byte("older")), register.DigestOf([]byte("configuration"))},
		Grants:          []register.Grant{{Role: "stages", Holder: "core-1/control", Token: 9}},
	}
	checkForm(t, "ballot", ballot)
	checkForm(t, "voter", voters[0])
	checkForm(t, "grant", value.Grants[0])
	checkForm(t, "digest", value.ConfigDigest)
	checkForm(t, "value", value)
	checkForm(t, "state", register.State{ID: "v-1", Promised: ballot, Accepted: other, Value: value})
	checkForm(t, "prepare", register.PrepareRequest{To: "v-1", Ballot: ballot})
	checkForm(t, "promise", register.PrepareReply{OK: true, WrongVoter: true, Promised: ballot, Accepted: other, Value: value})
	checkForm(t, "accept", register.AcceptRequest{To: "v-1", Ballot: ballot, Value: value, ConfigData: []byte("configuration")})
	checkForm(t, "accepted", register.AcceptReply{OK: true, WrongVoter: true, NeedsConfig: true, Promised: ballot})
	checkForm(t, "read", register.ReadRequest{To: "v-1"})
}

// TestStoredFormEmpty compares the encoding of an empty state with its golden file.
func TestStoredFormEmpty(t *testing.T) {
	assert.Equal(t, golden(t, "state_empty"), encode(t, register.State{}))
	var state register.State
	require.NoError(t, msgpack.Unmarshal(golden(t, "state_empty"), &state))
	assert.Equal(t, register.State{}, state)
}

// checkForm checks that a value encodes to the bytes of a golden file and that these decode to the value. It requires that no field
// is zero, so that the file covers them all.
func checkForm[T any](t *testing.T, name string, value T) {
	t.Helper()
	if fields := reflect.ValueOf(value); fields.Kind() == reflect.Struct {
		for i := range fields.NumField() {
			assert.False(t, fields.Field(i).IsZero(), "%s: field %s is zero", name, fields.Type().Field(i).Name)
		}
	}
	assert.Equal(t, golden(t, name), encode(t, value), name)
	var decoded T
	require.NoError(t, msgpack.Unmarshal(golden(t, name), &decoded), name)
	assert.Equal(t, value, decoded, name)
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(value)
	require.NoError(t, err)
	return data
}

// golden returns the bytes of a golden file, which holds them as hexadecimal digits.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "stored_form", name+".hex"))
	require.NoError(t, err)
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	return data
}

package swim

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

func wireRecord(state State) Record {
	return Record{ID: 0x0123456789abcdef, Version: Version{Incarnation: 5<<32 + 1, BootID: 7}, State: state, Name: "n1", Address: "127.0.0.1:7000", Accusers: []ID{3, 4}, AgeSeconds: 12.5, Durable: true}
}

// requireComplete fails if a field of a value, at any depth, is zero.
func requireComplete(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	require.False(t, v.IsZero(), "%s is not set", path)
	switch v.Kind() {
	case reflect.Pointer:
		requireComplete(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireComplete(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			requireComplete(t, path, v.Index(i))
		}
	}
}

// TestWireForm compares the encoding of messages with golden files, since peers may run the previous release.
func TestWireForm(t *testing.T) {
	for name, value := range map[string]any{
		"hello":   Hello{Self: wireRecord(Suspect), Heartbeat: Heartbeat{Digest: 9, Wanted: true}},
		"message": Message{Heartbeat: &Heartbeat{Digest: 9, Wanted: true}, Records: []Record{wireRecord(Suspect), wireRecord(Dead), wireRecord(Left)}, BucketDigests: []uint64{1, 2}, WantedBuckets: []uint64{3}, Closing: true},
	} {
		t.Run(name, func(t *testing.T) {
			requireComplete(t, name, reflect.ValueOf(value))
			golden, err := os.ReadFile(filepath.Join("testdata", "wire", name+".msgpack"))
			require.NoError(t, err)
			encoded, err := msgpack.Marshal(value)
			require.NoError(t, err)
			assert.Equal(t, golden, encoded)
			decoded := reflect.New(reflect.TypeOf(value))
			require.NoError(t, msgpack.Unmarshal(golden, decoded.Interface()))
			assert.Equal(t, value, decoded.Elem().Interface())
		})
	}
}

// TestStatsForm compares the JSON encoding of Stats, which the admin endpoint returns, with a golden file.
func TestStatsForm(t *testing.T) {
	value := Stats{Accusations: 1, Refutations: 2, Deaths: 3, Stalls: 4, Rejected: 5, Syncs: 6}
	requireComplete(t, "figures", reflect.ValueOf(value))
	golden, err := os.ReadFile(filepath.Join("testdata", "wire", "figures.json"))
	require.NoError(t, err)
	encoded, err := json.MarshalIndent(value, "", "\t")
	require.NoError(t, err)
	assert.Equal(t, string(golden), string(encoded)+"\n")
	var decoded Stats
	require.NoError(t, json.Unmarshal(golden, &decoded))
	assert.Equal(t, value, decoded)
}

// TestWireNumbersAndNames checks the numbers of states, which are sent, and the strings of states and IDs, which are shown to operators.
func TestWireNumbersAndNames(t *testing.T) {
	assert.Equal(t, []State{0, 1, 2, 3}, []State{Alive, Suspect, Dead, Left})
	var names []string
	for s := Alive; s <= Left+1; s++ {
		names = append(names, s.String())
	}
	assert.Equal(t, []string{"alive", "suspected", "dead", "left", "unknown"}, names)
	assert.Equal(t, "0000000000abcdef", ID(0xabcdef).String())
}

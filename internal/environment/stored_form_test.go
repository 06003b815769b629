package environment

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// requireGolden compares with a file of testdata, or writes it.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
}

// completeScript returns a script whose fields are all set.
func completeScript(t *testing.T) *Script {
	t.Helper()
	fault := Trouble{Kind: OneWay, AtS: 1.5, ForS: 2.5, Boxes: []string{"s-00000001"}, Site: "site-a", Sidecars: []int{1}, WithSidecars: true,
		Silent: true, Share: 0.25, PerS: 3.5, DrainS: 4.5, LagS: 5.5, ToBox: true, From: []int{2}, To: []int{3}, OneWay: true, State: Torn, By: 4,
		Rate: 1.03}
	for v, i := reflect.ValueOf(fault), 0; i < v.NumField(); i++ {
		require.False(t, v.Field(i).IsZero(), v.Type().Field(i).Name)
	}
	return &Script{Seed: 1, Luck: 2, Sidecars: 3, Boxes: 4, LengthS: 45.5, Troubles: []Trouble{fault}}
}

// TestScriptFormIsKept writes a script as files hold it, and its fault as commands send and store it, and reads the fault back.
func TestScriptFormIsKept(t *testing.T) {
	s := completeScript(t)
	text, err := s.Format()
	require.NoError(t, err)
	requireGolden(t, "script.toml", text)

	raw, err := json.MarshalIndent(s.Troubles, "", " ")
	require.NoError(t, err)
	requireGolden(t, "faults.json", raw)
	var read []Trouble
	require.NoError(t, json.Unmarshal(raw, &read))
	require.Equal(t, s.Troubles, read)
}

// TestConfigurationFormIsKept writes the configuration that a sidecar starts with.
func TestConfigurationFormIsKept(t *testing.T) {
	d := Draw(7, StandardRanges())
	w := New(&d, &notes{})
	requireGolden(t, "configuration.json", w.StartConfiguration(0, d.Start+30))
}

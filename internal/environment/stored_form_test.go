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
	fault := Fault{Kind: OneWay, AtSeconds: 1.5, DurationSeconds: 2.5, Servers: []string{"s-00000001"}, Site: "site-a", Sidecars: []int{1}, WithSidecars: true,
		Silent: true, Share: 0.25, RatePerSecond: 3.5, DrainSeconds: 4.5, DelaySeconds: 5.5, ToServer: true, From: []int{2}, To: []int{3}, OneWay: true, State: StateTorn, SidecarCount: 4,
		ClockRate: 1.03}
	for v, i := reflect.ValueOf(fault), 0; i < v.NumField(); i++ {
		require.False(t, v.Field(i).IsZero(), v.Type().Field(i).Name)
	}
	return &Script{Seed: 1, NetworkSeed: 2, Sidecars: 3, Servers: 4, LengthSeconds: 45.5, Faults: []Fault{fault}}
}

// TestScriptFormIsKept writes a script as files hold it, and its fault as commands send and store it, and reads the fault back.
func TestScriptFormIsKept(t *testing.T) {
	s := completeScript(t)
	text, err := s.Format()
	require.NoError(t, err)
	requireGolden(t, "script.toml", text)

	raw, err := json.MarshalIndent(s.Faults, "", " ")
	require.NoError(t, err)
	requireGolden(t, "faults.json", raw)
	var read []Fault
	require.NoError(t, json.Unmarshal(raw, &read))
	require.Equal(t, s.Faults, read)
}

// TestConfigurationFormIsKept writes the configuration that a sidecar starts with.
func TestConfigurationFormIsKept(t *testing.T) {
	d := Draw(7, StandardRanges())
	w := New(&d, &eventRecorder{})
	requireGolden(t, "configuration.json", w.StartConfiguration(0, d.Start+30))
}

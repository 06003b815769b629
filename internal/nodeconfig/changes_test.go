package nodeconfig_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/nodeconfig"
)

const runningSettings = "NodeId: n\nIp: 10.1.0.16\nZone: z\nBootstrap: true\nInternalPortRange: [7720, 7735]\nSeeds: [\"10.1.0.16:8166\"]\n" +
	"Listen: {Control: \"10.1.0.16:8166\"}\nBounds: {DrainMs: 3000, GraceS: 8}\nCloud: {Address: \"10.200.0.79:8169\", RatePerS: 47}\n"

// TestFieldsNeedingRestart guards against a change of the settings file that has no effect, and of which no line says so.
func TestFieldsNeedingRestart(t *testing.T) {
	running, err := nodeconfig.Parse([]byte(runningSettings))
	require.NoError(t, err)
	for name, c := range map[string]struct {
		before, after string
		want          []string
	}{
		"nothing":                      {"", "", nil},
		"the seeds":                    {"10.1.0.16:8166\"]", "10.1.0.17:8166\"]", nil},
		"the platform's address":       {"10.200.0.79", "10.200.0.80", nil},
		"what matters at a start only": {"Bootstrap: true", "Bootstrap: false", nil},
		"a bound":                      {"DrainMs: 3000", "DrainMs: 4000", []string{"Bounds.DrainMs"}},
		"several":                      {"GraceS: 8}\nCloud: {Address: \"10.200.0.79:8169\", RatePerS: 47}", "GraceS: 9}\nCloud: {RatePerS: 40, Address: \"1.1.1.1:1\"}", []string{"Bounds.GraceS", "Cloud.RatePerS"}},
		"a field that is not known":    {"Zone: z\n", "Zone: z\nNewField: 1\n", nil},
		"the address":                  {"Ip: 10.1.0.16", "Ip: 10.1.0.18", []string{"Ip"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, runningSettings, c.before)
			changed, err := nodeconfig.Parse([]byte(strings.Replace(runningSettings, c.before, c.after, 1)))
			require.NoError(t, err)
			assert.Equal(t, c.want, nonEmpty(nodeconfig.FieldsNeedingRestart(running, changed)))
		})
	}
}

func nonEmpty(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	return names
}

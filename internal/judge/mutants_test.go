package judge_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMutantsFit checks that each fault made on purpose still has its place in the program. `hazellab mutants` takes minutes and
// would be the first to notice that the program has moved on.
func TestMutantsFit(t *testing.T) {
	patches, err := filepath.Glob("testdata/mutants/*.patch")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(patches), 16)
	for _, p := range patches {
		text, err := os.ReadFile(p)
		require.NoError(t, err)
		for i, hunk := range strings.Split(string(text), "\n@@")[1:] {
			_, name, ok := strings.Cut(string(text), "--- a/")
			require.True(t, ok, p)
			name, _, _ = strings.Cut(name, "\n")
			source, err := os.ReadFile(filepath.Join("../..", name))
			require.NoError(t, err, p)
			var before, after strings.Builder
			for _, line := range strings.Split(hunk, "\n")[1:] {
				if line == "" {
					continue
				}
				if line[0] != '+' {
					before.WriteString(line[1:] + "\n")
				}
				if line[0] != '-' {
					after.WriteString(line[1:] + "\n")
				}
			}
			require.Equal(t, 1, strings.Count(string(source), before.String()), "%s: hunk %d does not fit %s", p, i+1, name)
			require.NotEqual(t, before.String(), after.String(), p)
		}
	}
}

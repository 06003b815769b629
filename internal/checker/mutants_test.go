package checker_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMutantPatchesFitTheCode checks that each mutant still has its place in the program: `hazellab mutants` takes minutes and
// would be the first to notice that the program has moved on.
func TestMutantPatchesFitTheCode(t *testing.T) {
	patches, err := filepath.Glob("testdata/mutants/*.patch")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(patches), 16)
	for _, p := range patches {
		text, err := os.ReadFile(p)
		require.NoError(t, err)
		_, files, ok := strings.Cut("\n"+string(text), "\n--- a/")
		require.True(t, ok, p)
		for _, of := range strings.Split(files, "\n--- a/") {
			name, hunks, _ := strings.Cut(of, "\n")
			hunks, _, _ = strings.Cut(hunks, "\ndiff --git ")
			source, err := os.ReadFile(filepath.Join("../..", name))
			require.NoError(t, err, p)
			requireFits(t, p, name, string(source), hunks)
		}
	}
}

// requireFits fails unless each hunk of a patch changes exactly one place of a file.
func requireFits(t *testing.T, p, name, source, hunks string) {
	for i, hunk := range strings.Split("\n"+hunks, "\n@@")[1:] {
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
		require.Equal(t, 1, strings.Count(source, before.String()), "%s: hunk %d does not fit %s", p, i+1, name)
		require.NotEqual(t, before.String(), after.String(), p)
	}
}

package experiment

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The experiments that are shipped can be read.
func TestShipped(t *testing.T) {
	files, err := filepath.Glob("../../../lab/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		s, _, err := ReadFile(f)
		require.NoError(t, err)
		assert.Equal(t, filepath.Base(f), s.Name+".toml")
	}
}

package quotas

import (
	"bytes"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/quota"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// A snapshot has the same bytes as that of released versions, and a snapshot that one of them wrote can be read.
func TestFolderOfReleasedVersionIsRead(t *testing.T) {
	_, tree := newTestClassifier(t)
	m := quota.New(tree, quota.Settings{}, 100)
	for i, name := range []string{"ministry", "city", "others"} {
		g, ok := tree.Find(name)
		require.True(t, ok)
		for range 15 * (i + 1) {
			m.Admit(100+float64(i), m.NewRequest(g, 0, false))
		}
	}
	log := slog.New(slog.DiscardHandler)
	stored := filepath.Join("testdata", "stored")
	dir := t.TempDir()
	if *update {
		dir = stored
	}
	d := NewSnapshotWriter(dir, log)
	d.Close(m.State())
	require.EqualValues(t, 1, d.Written.Load())
	got, err := os.ReadFile(filepath.Join(dir, "quotas.snapshot"))
	require.NoError(t, err)
	want, err := os.ReadFile(filepath.Join(stored, "quotas.snapshot"))
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got), "the same state is written with other bytes")

	s := LoadSnapshot(stored, log) // would rename the file if it could not use it
	require.NotNil(t, s)
	next := quota.Restore(tree, quota.Settings{}, s, 100)
	for g := range int32(tree.Len()) {
		assert.Equal(t, m.Stats(g), next.Stats(g))
	}
}

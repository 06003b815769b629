package statefile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A written state is read back unchanged, a copy is recognized in whatever way it was put in place, and of two processes the later one
// continues the state.
func TestStoreRecognizesCopiesAndConflicts(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "below")
	path := filepath.Join(dir, fileName)
	open := func() *Store {
		f := Open(dir, func(do func()) { do() })
		t.Cleanup(f.Close)
		return f
	}
	save := func(f *Store, text string) error {
		done := make(chan error)
		f.Save([]byte(text), func(err error) { done <- err })
		return <-done
	}
	older := open()
	assert.Nil(t, older.Load().Data)
	require.NoError(t, save(older, "first"))
	first, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, text := range []string{"second", "third"} {
		require.NoError(t, save(older, text))
	}
	newer := open()
	s := newer.Load()
	assert.Equal(t, "third", string(s.Data))
	assert.False(t, s.IsCopy)
	require.NoError(t, save(newer, "fourth"))
	assert.ErrorIs(t, save(older, "fifth"), ErrConflict)
	newer = open()
	assert.Equal(t, "fourth", string(newer.Load().Data))
	require.NoError(t, save(newer, "sixth"))

	for name, put := range map[string]func() error{
		"overwritten":               func() error { return os.WriteFile(path, first, 0o600) },
		"removed and written again": func() error { return errors.Join(os.Remove(path), os.WriteFile(path, first, 0o600)) },
		"renamed":                   func() error { return errors.Join(os.WriteFile(path+"x", first, 0o600), os.Rename(path+"x", path)) },
		"earlier format":            func() error { return os.WriteFile(path, []byte("hazelwheel-peer 1 5 0\nfirst"), 0o600) },
	} {
		require.NoError(t, put())
		restarted := open()
		s := restarted.Load()
		assert.Contains(t, string(s.Data), "first", name)
		assert.Equal(t, name != "earlier format", s.IsCopy, name)
		assert.NoError(t, save(restarted, "again"), name)
	}
}

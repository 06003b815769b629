package hotrestart

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process of a new version replaces one of an old version and the other way round: the state has the bytes of the golden file, and a
// folder of an earlier version is read.
func TestStoredForm(t *testing.T) {
	want := State{UnixSeconds: 1700000000.25, SettingsHash: "0123456789abcdef", EndpointList: json.RawMessage(`{"Index":7}`), PolicyCheckpoint: []byte{1, 2, 3}}
	text, err := Encode(want)
	require.NoError(t, err)
	raw, err := os.ReadFile("testdata/folder/state")
	require.NoError(t, err)
	assert.Equal(t, string(raw), string(text))

	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata/folder")))
	s, err := Open(dir, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer s.Close()
	got, err := s.Load()
	require.NoError(t, err)
	assert.Equal(t, want, got)
	cordoned, drained, err := s.OperatorState()
	require.NoError(t, err)
	assert.Equal(t, []string{"../../etc", "a b", "s-1"}, cordoned)
	assert.True(t, drained)
}

// Other versions find the files by their names.
func TestStoredNames(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, func(err error) { t.Error(err) })
	require.NoError(t, err)
	require.NoError(t, s.Cordon("s-1"))
	require.NoError(t, s.SetDrained(true))
	require.NoError(t, s.MarkServing())
	lives, err := filepath.Glob(filepath.Join(dir, "lives", "*"))
	require.NoError(t, err)
	require.Len(t, lives, 1)
	assert.Regexp(t, `^[0-9]{20}-[A-Z2-7]{8}$`, filepath.Base(lives[0]))
	word, err := os.ReadFile(lives[0])
	require.NoError(t, err)
	assert.Equal(t, "serving", string(word))
	var names []string
	require.NoError(t, fs.WalkDir(os.DirFS(filepath.Join(dir, "bans")), ".", func(path string, _ fs.DirEntry, err error) error {
		names = append(names, path)
		return err
	}))
	assert.Equal(t, []string{".", "%away", "s-1"}, names)
	s.Close()
	assert.NoFileExists(t, lives[0])
}

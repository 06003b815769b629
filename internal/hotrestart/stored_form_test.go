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

// Processes of older and newer versions replace each other, so the state must have the bytes of the golden file, and a folder of an earlier
// version must be readable.
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

// Other versions of the program find the files by these names.
func TestStoredNames(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, func(err error) { t.Error(err) })
	require.NoError(t, err)
	require.NoError(t, s.Cordon("s-1"))
	require.NoError(t, s.SetDrained(true))
	require.NoError(t, s.MarkServing())
	processFiles, err := filepath.Glob(filepath.Join(dir, "lives", "*"))
	require.NoError(t, err)
	require.Len(t, processFiles, 1)
	assert.Regexp(t, `^[0-9]{20}-[A-Z2-7]{8}$`, filepath.Base(processFiles[0]))
	content, err := os.ReadFile(processFiles[0])
	require.NoError(t, err)
	assert.Equal(t, "serving", string(content))
	var names []string
	require.NoError(t, fs.WalkDir(os.DirFS(filepath.Join(dir, "bans")), ".", func(path string, _ fs.DirEntry, err error) error {
		names = append(names, path)
		return err
	}))
	assert.Equal(t, []string{".", "%away", "s-1"}, names)
	s.Close()
	assert.NoFileExists(t, processFiles[0])
}

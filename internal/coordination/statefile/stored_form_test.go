package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The file of an earlier version is read. The golden file is recognized as a copy, unless its header is replaced by one with the
// file's own inode and birth time.
func TestStoredForm(t *testing.T) {
	raw, err := os.ReadFile("testdata/folder/peer")
	require.NoError(t, err)
	head, data, found := strings.Cut(string(raw), "\n")
	require.True(t, found)
	assert.Regexp(t, `^hazelwheel-peer 2 [0-9]+ [0-9]+$`, head)
	for _, own := range []bool{false, true} {
		dir := t.TempDir()
		file, err := os.Create(filepath.Join(dir, "peer"))
		require.NoError(t, err)
		if own {
			m, err := markOf(file)
			require.NoError(t, err)
			head = fmt.Sprintf("hazelwheel-peer 2 %d %d", m.inode, m.birth)
		}
		_, err = file.WriteString(head + "\n" + data)
		require.NoError(t, err)
		require.NoError(t, file.Close())
		f := Open(dir, func(do func()) { do() })
		s := f.Load()
		assert.NoError(t, s.Err)
		assert.Equal(t, data, string(s.Data))
		assert.Equal(t, !own, s.IsCopy)
		done := make(chan error)
		f.Save([]byte(data), func(err error) { done <- err })
		require.NoError(t, <-done)
		f.Close()
		written, err := os.ReadFile(filepath.Join(dir, "peer"))
		require.NoError(t, err)
		head, rest, _ := strings.Cut(string(written), "\n")
		assert.Regexp(t, `^hazelwheel-peer 2 [0-9]+ [0-9]+$`, head)
		assert.Equal(t, data, rest)
	}
}

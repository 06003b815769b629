package endpointset

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Exports, snapshots and checksums must not change by a byte: exports are read by a successor of another program version, snapshots
// by other sidecars and from disk, and checksums are compared between sidecars of different versions.
func TestWrittenFormsAreKept(t *testing.T) {
	const now = 1.8e9
	g := New([]string{"a", "b"}, []string{"m1"})
	mustApply(t, g, now, `{"index":41,"snapshot":true,"endpoints":[
		{"name":"s-5be2a07c","address":"10.1.0.18:3000","zone":"b","type":"m2","group":3,"status":"SERVING","weight":1.5,"since_ms":1799999000000},
		{"name":"s-00000001","address":"10.1.0.19:3000","zone":"a","type":"m1","group":4,"status":"DRAINING","weight":0.25,"since_ms":1799999999500},
		{"name":"s-00000002","address":"10.1.0.20:3000","zone":"c","type":"m1","group":5,"status":"SERVING","weight":2,"since_ms":0}]}`)
	_, err := g.Cordon("s-5be2a07c", now+1)
	require.NoError(t, err)
	_, err = g.Uncordon("s-5be2a07c", now+9)
	require.NoError(t, err)
	mustApply(t, g, now+10, `{"index":42,"endpoints":[{"name":"s-00000002","address":"10.1.0.20:3000","zone":"c","type":"m1","group":5,"status":"DELETED","weight":2}]}`)
	for name, got := range map[string]string{
		"export.json":  string(g.Export()),
		"list.json":    string(g.Snapshot()),
		"checksum.txt": fmt.Sprintf("%016x", g.Checksum()),
	} {
		want, err := os.ReadFile(filepath.Join("testdata", name))
		require.NoError(t, err)
		assert.Equal(t, string(want), got+"\n", name)
	}
	successor := New([]string{"a", "b"}, []string{"m1"})
	export, err := os.ReadFile(filepath.Join("testdata", "export.json"))
	require.NoError(t, err)
	_, infos := mustApply(t, successor, now+20, string(export))
	require.Len(t, infos, 3)
	assert.Equal(t, now+9.0, successor.Host(0x5be2a07c).Listing().StartedAt)
	assert.Equal(t, g.Checksum(), successor.Checksum())
	assert.Equal(t, string(g.Snapshot()), string(successor.Snapshot()))
	assert.Nil(t, successor.Host(2), "a successor does not keep a server that was gone")
}

package quotas

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/quota"
)

type testHeader map[string]string

func (h testHeader) Field(name string) string { return h[name] }

func newTestClassifier(t *testing.T) (*Classifier, *quota.Tree) {
	tree, err := Parse([]byte(`{"limits": [{"measure": "requests", "window_s": 10, "quota": 100}], "groups": [{"name": "north", "share": 50},
		{"name": "city", "parent": "north", "share": 50}, {"name": "ministry", "share": 20}, {"name": "others"}]}`))
	require.NoError(t, err)
	s := Settings{File: "x", Tree: tree, DefaultGroup: "others", Rules: []Rule{{Header: "Organisation"},
		{Addresses: netip.MustParsePrefix("10.1.0.0/16"), Group: "ministry"}, {Class: "raise-alert", Group: "north.city"}}}
	require.NoError(t, s.Validate(tree))
	return NewClassifier(&s, tree), tree
}

func TestFirstMatchingRuleDecides(t *testing.T) {
	d, tree := newTestClassifier(t)
	inside, outside := netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("10.2.0.1")
	for _, c := range []struct {
		header, class string
		from          netip.Addr
		want          string
	}{
		{"north.city", "latest-reading", inside, "north.city"},
		{"city", "latest-reading", inside, "north.city"},
		{"north", "latest-reading", inside, "ministry"}, // a group with children accepts no requests
		{"south.city", "latest-reading", inside, "ministry"},
		{"", "raise-alert", inside, "ministry"},
		{"", "raise-alert", outside, "north.city"},
		{"nobody", "latest-reading", outside, "others"},
		{"", "latest-reading", netip.Addr{}, "others"},
	} {
		assert.Equal(t, c.want, tree.Path(d.GroupOf(testHeader{"Organisation": c.header}, c.class, c.from)), "%+v", c)
	}
}

// Requests with a million different unknown groups do not make the classifier or the limiter use more memory.
func TestUnknownNamesTakeNoMemory(t *testing.T) {
	d, tree := newTestClassifier(t)
	m := quota.New(tree, quota.Settings{}, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	h := testHeader{}
	for i := range 1_000_000 {
		h["Organisation"] = fmt.Sprintf("north.name%d", i)
		g := d.GroupOf(h, "latest-reading", netip.Addr{})
		require.Equal(t, "others", tree.Path(g))
		m.Admit(float64(i)/1e5, quota.Request{Group: g})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(64<<10))
	runtime.KeepAlive(d)
	runtime.KeepAlive(m)
}

func TestSnapshotIsWrittenAndLoaded(t *testing.T) {
	_, tree := newTestClassifier(t)
	dir := filepath.Join(t.TempDir(), "not", "there")
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	assert.Nil(t, LoadSnapshot(dir, log))
	assert.Empty(t, text.String(), "a missing snapshot is not logged")

	m := quota.New(tree, quota.Settings{}, 100)
	g, _ := tree.Find("ministry")
	for range 15 {
		m.Admit(100, quota.Request{Group: g})
	}
	d := NewSnapshotWriter(dir, log)
	d.Write(m.State())
	d.Close(m.State())
	assert.GreaterOrEqual(t, d.Written.Load(), uint64(1))
	s := LoadSnapshot(dir, log)
	require.NotNil(t, s)
	again := quota.Restore(tree, quota.Settings{}, s, 100)
	assert.Equal(t, m.Stats(g), again.Stats(g))

	file := filepath.Join(dir, snapshotFileName)
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	newer := bytes.Clone(raw)
	newer[len("hazelwheel quota")]++
	for _, bad := range [][]byte{newer, raw[:len(raw)/2], []byte("?")} {
		require.NoError(t, os.WriteFile(file, bad, 0o600))
		text.Reset()
		assert.Nil(t, LoadSnapshot(dir, log))
		assert.Equal(t, 1, strings.Count(text.String(), "\n"), text.String())
		assert.NoFileExists(t, file)
		assert.FileExists(t, file+".set-aside")
	}
	text.Reset()
	broken := NewSnapshotWriter(file+".set-aside", log) // a file where the folder should be
	broken.Write(m.State())
	broken.Close(m.State())
	assert.Equal(t, 1, strings.Count(text.String(), "can't be written"), "consecutive failures are logged once")
	assert.Positive(t, broken.Errors.Load())
}

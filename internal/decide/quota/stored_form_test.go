package quota

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// newUsedLimiter returns a limiter with accounts of every measure in use: with loans, debts, a cap that was reached and open requests.
func newUsedLimiter(t *testing.T) (*Limiter, *Tree, Settings, float64) {
	tr := newTestTree(t, []Limit{{Requests, 10, 100}, {Bytes, 60, 1 << 20}, {Work, 10, 5}, {Open, 0, 8}},
		Group{Name: "north", Share: 50}, Group{Name: "city", Parent: "north", Share: 60, Floor: 10}, Group{Name: "port", Parent: "north", Share: 30, Cap: 90},
		Group{Name: "ministry", Share: 20, Weight: 2}, Group{Name: "others"})
	settings := Settings{Replicas: 2, StretchFraction: 0.1, RepayFraction: 0.2, FadeSeconds: 900}
	m, now := New(tr, settings, startTime), startTime
	for i := range 400 {
		now += 0.03 + 0.01*float64(i%7)
		for n, name := range []string{"city", "port", "ministry"} {
			if g, _ := tr.Find(name); i%(n+1) == 0 && (i < 250 || n != 1) {
				q := m.NewRequest(g, float64(100*n+i), i%2 == 0)
				if m.Admit(now, q).Allowed && i%9 > 0 {
					m.Complete(now+0.02, q, 0.02, float64(i*10), 0.01)
				}
			}
		}
	}
	return m, tr, settings, now
}

// TestSnapshotFormIsKept checks that a limiter's state is encoded to the bytes that released versions write, and can be restored from them.
// Danger: gob matches fields by their Go names, and accounts are written in the order of their fields; if a field is renamed or moved, its
// stored value is lost.
func TestSnapshotFormIsKept(t *testing.T) {
	m, tr, settings, now := newUsedLimiter(t)
	got, err := m.State().Encode()
	require.NoError(t, err)
	path := filepath.Join("testdata", "quotas.snapshot")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got), "the snapshot differs from the golden file")

	s, err := Decode(want)
	require.NoError(t, err)
	next := Restore(tr, settings, s, now)
	again, err := next.State().Encode()
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, again), "a restored state is encoded to the same bytes")
	for g := range int32(tr.Len()) {
		assert.Equal(t, m.Stats(g), next.Stats(g))
		for i := range tr.Limits[:3] {
			wantTally, wantBalance := m.Tally(g, i)
			tally, balance := next.Tally(g, i)
			assert.Equal(t, wantTally, tally)
			assert.Equal(t, wantBalance, balance)
		}
	}
	assert.Equal(t, m.refusals, next.refusals)
	city, _ := tr.Find("city")
	port, _ := tr.Find("port")
	assert.Positive(t, m.Stats(city).Refused)
	assert.Positive(t, m.Stats(port).Refused)
}

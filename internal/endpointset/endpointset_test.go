package endpointset

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/policy"
)

func mustApply(t *testing.T, g *Set, now float64, text string) (bool, []policy.HostInfo) {
	snapshot, infos, err := g.Apply([]byte(text), now)
	require.NoError(t, err)
	return snapshot, infos
}

func TestApply(t *testing.T) {
	const now = 1.8e9
	g := New([]string{"a", "b"}, []string{"m1", "m2"})
	_, hasIndex := g.Index()
	assert.False(t, hasIndex)
	snapshot, infos := mustApply(t, g, now, `{"index":41,"snapshot":true,"endpoints":[
		{"name":"s-5be2a07c","address":"10.1.0.18:3000","zone":"b","type":"m2","group":3,"status":"SERVING","weight":1.5,"since_ms":0},
		{"name":"box","address":"10.1.0.19:3000","zone":"c","type":"m9","status":"DRAINING","weight":1,"since_ms":1799999999500},
		{"address":"10.1.0.20:3000"},
		{"name":"s-00000007","address":"10.1.0.21:3000","zone":"d","type":"m1","status":"NEW","weight":-1,"since_ms":-5}]}`)
	assert.True(t, snapshot)
	assert.Equal(t, []policy.HostInfo{
		{ID: 0x5be2a07c, Zone: 1, Kind: 1, Cell: 3, State: policy.Ready, Size: 1.5},
		// The start time is kept: a server that started shortly before this process is still warming up.
		{ID: ID("box"), Zone: 2, Kind: 2, State: policy.Draining, Size: 1, Started: now - 0.5},
		{ID: 7, Zone: 3, Kind: 0, State: policy.Draining},
	}, infos)
	index, hasIndex := g.Index()
	assert.True(t, hasIndex)
	assert.EqualValues(t, 41, index)

	_, infos = mustApply(t, g, now+1, `{"index":42,"snapshot":false,"endpoints":[{"name":"box","status":"DELETED"}]}`)
	assert.Equal(t, policy.Gone, infos[0].State)
	assert.Equal(t, policy.Gone, g.Host(ID("box")).State)
	assert.Equal(t, "10.1.0.19:3000", g.Host(ID("box")).Address)
	mustApply(t, g, now+2, `{"index":43,"snapshot":true,"endpoints":[{"name":"s-00000007","status":"SERVING"}]}`)
	assert.Equal(t, policy.Gone, g.Host(0x5be2a07c).State, "a server that a snapshot does not contain is gone")
	assert.Equal(t, policy.Ready, g.Host(7).State)
	mustApply(t, g, now+2+forgetSeconds+1, `{"index":44}`)
	assert.Nil(t, g.Host(0x5be2a07c))
	_, _, err := g.Apply([]byte(`{"index":`), now)
	assert.Error(t, err)
}

// An uncordoned server counts as started at that time, until the list has a later start.
func TestUncordonedServerCountsAsStarted(t *testing.T) {
	const now = 1.8e9
	g := New(nil, nil)
	mustApply(t, g, now, `{"index":1,"snapshot":true,"endpoints":[{"name":"box","status":"SERVING","since_ms":1799999000000}]}`)
	_, err := g.Cordon("other", now)
	assert.ErrorIs(t, err, ErrUnlisted)
	info, err := g.Cordon("box", now+1)
	require.NoError(t, err)
	assert.Equal(t, policy.Draining, info.State)
	isSnapshot, infos := mustApply(t, g, now+2, `{"index":2,"snapshot":true,"endpoints":[]}`)
	assert.True(t, isSnapshot)
	require.Len(t, infos, 1, "a cordoned server is draining even if the snapshot does not contain it")
	assert.Equal(t, policy.Draining, infos[0].State)
	mustApply(t, g, now+3+forgetSeconds, `{"index":2}`)
	_, infos = mustApply(t, g, now+4, `{"index":3,"endpoints":[{"name":"box","status":"SERVING","since_ms":1799999000000}]}`)
	assert.Equal(t, policy.Draining, infos[0].State, "a server is not forgotten while it is cordoned")
	info, err = g.Uncordon("box", now+9)
	require.NoError(t, err)
	assert.Equal(t, policy.HostInfo{ID: ID("box"), State: policy.Ready, Started: now + 9}, info)
	successor := New(nil, nil)
	_, infos = mustApply(t, successor, now+10, string(g.Export()))
	assert.Equal(t, now+9.0, infos[0].Started, "the export contains the start time")
	_, infos = mustApply(t, g, now+11, `{"index":4,"endpoints":[{"name":"box","status":"SERVING","since_ms":1800000005000}]}`)
	assert.Equal(t, now+5.0, infos[0].Started)
}

// A server's ID depends on its name only, so that all sidecars order the servers alike, in whatever order they learn of them.
func TestIDsAreEqualInAllSidecars(t *testing.T) {
	assert.EqualValues(t, 0x5be2a07c, ID("s-5be2a07c"))
	assert.Equal(t, ID("readings-1.example"), ID("readings-1.example"))
	assert.NotEqual(t, ID("readings-1.example"), ID("readings-2.example"))
	g := New(nil, nil)
	_, infos := mustApply(t, g, 1, `{"endpoints":[{"name":"a-00000001"},{"name":"b-00000001"},{"name":"a-00000001"}]}`)
	assert.EqualValues(t, []uint32{1, 2, 1}, []uint32{infos[0].ID, infos[1].ID, infos[2].ID}, "names with the same ID get different ones")
}

// A set built from the snapshot of another, which was built from snapshots and deltas, has the same content and checksum.
func TestSnapshotAndChecksum(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := New([]string{"a"}, nil)
		index := 0
		for range rapid.IntRange(1, 8).Draw(r, "objects") {
			index += rapid.IntRange(0, 3).Draw(r, "by")
			var list []map[string]any
			for range rapid.IntRange(0, 5).Draw(r, "entries") {
				list = append(list, map[string]any{"name": rapid.SampledFrom([]string{"x", "y", "z-00000001", "w-00000001"}).Draw(r, "name"),
					"address": rapid.SampledFrom([]string{"1:1", "2:2"}).Draw(r, "address"), "zone": rapid.SampledFrom([]string{"a", "b"}).Draw(r, "zone"),
					"status": rapid.SampledFrom([]string{"SERVING", "DRAINING", "DELETED", "NEW"}).Draw(r, "status"),
					"weight": rapid.Float64Range(0, 3).Draw(r, "weight"), "since_ms": rapid.Float64Range(0, 1e12).Draw(r, "since")})
			}
			raw, err := json.Marshal(map[string]any{"index": index, "snapshot": rapid.Bool().Draw(r, "snapshot"), "endpoints": list})
			require.NoError(r, err)
			_, _, err = g.Apply(raw, 1)
			require.NoError(r, err)
		}
		if rapid.Bool().Draw(r, "cordoned") {
			g.CordonName("x", 1)
		}
		restored := New([]string{"a"}, nil)
		snapshot, _, err := restored.Apply(g.Snapshot(), 2)
		require.NoError(r, err)
		assert.True(r, snapshot)
		assert.Equal(r, g.Checksum(), restored.Checksum())
		assert.Equal(r, g.index, restored.index)
		assert.JSONEq(r, string(g.Snapshot()), string(restored.Snapshot()))
		_, _, err = restored.Apply([]byte(`{"index":99,"endpoints":[{"name":"new","status":"SERVING"}]}`), 3)
		require.NoError(r, err)
		assert.NotEqual(r, g.Checksum(), restored.Checksum())
	})
}

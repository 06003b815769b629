package coordination

import (
	"bytes"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

// A sidecar that is updated goes on from what the version before it has stored: identity, promises and what is agreed of servers.
func TestStoredForm(t *testing.T) {
	s := persistentState{ID: 1 << 40, Generation: 7, LeaseState: []byte{1, 2, 3}, Maintenance: &MaintenanceRecord{Epoch: 3, Version: 9, Token: 3<<40 + 5, Body: []byte{4, 5}}}
	assert.Equal(t, golden(t, "stored", "state_2"), string(encodeState(s)))
	for file, want := range map[string]persistentState{
		"state_2": s,
		"state_1": {ID: 1 << 40, Generation: 7},
	} {
		back, err := (&SavedState{Data: []byte(golden(t, "stored", file))}).decode()
		require.NoError(t, err, file)
		assert.Equal(t, want, back, file)
	}
	_, err := (&SavedState{Data: []byte(golden(t, "stored", "state_2")), IsCopy: true}).decode()
	assert.ErrorIs(t, err, errCopied)
	_, err = (&SavedState{Data: []byte("hazelwheel-peer 3 2 00000000\n{}")}).decode()
	assert.ErrorIs(t, err, errUnknownVersion)
}

// A folder's file that a process has written is taken over whole: the promises are read under its identity, and so is what is agreed.
func TestStoredByAProcess(t *testing.T) {
	raw, err := os.ReadFile("statefile/testdata/folder/peer")
	require.NoError(t, err)
	_, data, _ := bytes.Cut(raw, []byte{'\n'})
	saved := SavedState{Data: data}
	s, err := saved.decode()
	require.NoError(t, err)
	assert.Equal(t, swim.ID(7474564059039998591), s.ID)
	assert.Equal(t, uint64(1), s.Generation)
	require.NotNil(t, s.Maintenance)
	assert.Equal(t, []uint64{1, 1, 1<<40 + 1}, []uint64{s.Maintenance.Epoch, s.Maintenance.Version, s.Maintenance.Token})
	agreed, err := maintenance.Decode(s.Maintenance.Body)
	require.NoError(t, err)
	assert.Len(t, agreed.Plans, 1)
	f := &Node{net: &standing{now: 100}, options: Options{Rand: rand.New(rand.NewPCG(1, 1))}}
	o := &roleManager{node: f}
	require.NoError(t, o.start(s.ID, s.LeaseState))
	assert.True(t, o.lease.Stats().IsVoter)
	assert.Error(t, o.start(s.ID+1, s.LeaseState))
	assert.Equal(t, string(data), string(encodeState(s)))
}

package coordination

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

// A sidecar continues from the state that an earlier version has stored: identity, lease state and maintenance record.
func TestStoredForm(t *testing.T) {
	s := persistentState{ID: 1 << 40, Generation: 7, LeaseState: []byte{1, 2, 3}, Maintenance: &MaintenanceRecord{Epoch: 3, Version: 9, Token: 3<<40 + 5, Body: []byte{4, 5}}}
	assert.Equal(t, golden(t, "stored", "state_2"), string(encodeState(s)))
	for file, want := range map[string]persistentState{
		"state_2": s,
		"state_1": {ID: 1 << 40, Generation: 7},
	} {
		decoded, err := (&SavedState{Data: []byte(golden(t, "stored", file))}).decode()
		require.NoError(t, err, file)
		assert.Equal(t, want, decoded, file)
	}
	_, err := (&SavedState{Data: []byte(golden(t, "stored", "state_2")), IsCopy: true}).decode()
	assert.ErrorIs(t, err, errCopied)
	_, err = (&SavedState{Data: []byte("hazelwheel-peer 3 2 00000000\n{}")}).decode()
	assert.ErrorIs(t, err, errUnknownVersion)
}

// A file that a process of an earlier version has written is read with its lease state and its maintenance record.
func TestStateOfAnEarlierProcessIsRead(t *testing.T) {
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
	record, err := maintenance.Decode(s.Maintenance.Body)
	require.NoError(t, err)
	assert.Len(t, record.Plans, 1)
	n, _ := newTestNode(Options{})
	m := &roleManager{node: n}
	require.NoError(t, m.start(s.ID, s.LeaseState))
	assert.True(t, m.lease.Stats().IsVoter)
	assert.Error(t, m.start(s.ID+1, s.LeaseState))
	assert.Equal(t, string(data), string(encodeState(s)))
}

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
	s := state{ID: 1 << 40, Generation: 7, Tenure: []byte{1, 2, 3}, Works: &MaintenanceRecord{Epoch: 3, Version: 9, Token: 3<<40 + 5, Body: []byte{4, 5}}}
	assert.Equal(t, golden(t, "stored", "state_2"), string(encodeState(s)))
	for file, want := range map[string]state{
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
	assert.ErrorIs(t, err, errForm)
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
	require.NotNil(t, s.Works)
	assert.Equal(t, []uint64{1, 1, 1<<40 + 1}, []uint64{s.Works.Epoch, s.Works.Version, s.Works.Token})
	agreed, err := maintenance.Decode(s.Works.Body)
	require.NoError(t, err)
	assert.Len(t, agreed.Plans, 1)
	f := &Node{net: &standing{now: 100}, o: Options{Rand: rand.New(rand.NewPCG(1, 1))}}
	o := &owners{f: f}
	require.NoError(t, o.begin(s.ID, s.Tenure))
	assert.True(t, o.t.Stats().IsVoter)
	assert.Error(t, o.begin(s.ID+1, s.Tenure))
	assert.Equal(t, string(data), string(encodeState(s)))
}

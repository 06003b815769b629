package hotrestart

import (
	"io/fs"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// An encoded state is decoded to the same state. With a bit changed or truncated it is rejected, never decoded to another state.
func TestStateIsCompleteOrRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{UnixSeconds: rapid.Float64Range(0, 1e10).Draw(t, "at"), SettingsHash: rapid.StringMatching("[0-9a-f]{64}").Draw(t, "settings"),
			EndpointList: []byte(`{"Index":7}`), PolicyCheckpoint: rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "checkpoint")}
		raw, err := Encode(s)
		require.NoError(t, err)
		got, err := Decode(raw)
		require.NoError(t, err)
		require.Equal(t, s, got)
		at := rapid.IntRange(0, len(raw)-1).Draw(t, "byte")
		_, err = Decode(raw[:at])
		require.Error(t, err)
		raw[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err = Decode(raw); err == nil { // some changes of the header line do not change the values in it
			require.Equal(t, s, got)
		}
	})
}

// FuzzDecode checks that no input causes a panic, and that each decoded state can be encoded again.
func FuzzDecode(f *testing.F) {
	raw, _ := Encode(State{UnixSeconds: 1, EndpointList: []byte("{}")})
	f.Add(raw)
	f.Add([]byte("hazelwheel-handover 1 2 00000000\n{}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Decode(raw); err == nil {
			_, err = Encode(s)
			require.NoError(t, err)
		}
	})
}

// What operators set in one process is read by another process, whatever characters a server name contains.
func TestOperatorStateIsSharedByProcesses(t *testing.T) {
	dir := t.TempDir()
	open := func() *Store {
		s, err := Open(dir, func(err error) { t.Error(err) })
		require.NoError(t, err)
		return s
	}
	old := open()
	_, err := old.Load()
	assert.ErrorIs(t, err, fs.ErrNotExist)
	next := open()
	for _, name := range []string{"s-1", "../../etc", "%away", "a b"} {
		before := next.OperatorStamp()
		require.NoError(t, old.Cordon(name))
		require.NoError(t, old.Cordon(name))
		assert.NotEqual(t, before, next.OperatorStamp())
	}
	require.NoError(t, next.Uncordon("s-1"))
	require.NoError(t, next.Uncordon("s-1"))
	require.NoError(t, next.SetDrained(true))
	cordoned, drained, err := old.OperatorState()
	require.NoError(t, err)
	assert.ElementsMatch(t, []string{"../../etc", "%away", "a b"}, cordoned)
	assert.True(t, drained)

	n, successor := old.OtherProcesses()
	assert.Equal(t, 1, n)
	assert.False(t, successor, "it does not serve yet")
	require.NoError(t, next.MarkServing())
	_, successor = old.OtherProcesses()
	assert.True(t, successor)
	require.NoError(t, old.MarkServing())
	_, successor = next.OtherProcesses()
	assert.False(t, successor, "an earlier process is no successor")
	next.Close()
	n, _ = old.OtherProcesses()
	assert.Zero(t, n)
}

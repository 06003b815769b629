package message_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/message"
)

// The form of a version before, with a name for each field.
type (
	namedLoad struct {
		Key     uint32 `msgpack:"k"`
		Running uint16 `msgpack:"r"`
		Waiting uint16 `msgpack:"w"`
		AgeMs   uint16 `msgpack:"a"`
	}
	namedBeat struct {
		Key       uint32 `msgpack:"k"`
		Heartbeat uint64 `msgpack:"b"`
	}
)

// Loads and heartbeats go without the names of their fields. Processes of the version before read that, and are read.
func TestShortForms(t *testing.T) {
	load, beat := message.Load{InstanceKey: 7, Running: 3, Waiting: 2, AgeMs: 900}, membership.Beat{Key: 9, Heartbeat: 70000}
	named, namedB := namedLoad{7, 3, 2, 900}, namedBeat{9, 70000}

	short, err := msgpack.Marshal([]message.Load{load})
	require.NoError(t, err)
	var before []namedLoad
	require.NoError(t, msgpack.Unmarshal(short, &before))
	assert.Equal(t, []namedLoad{named}, before)
	long, err := msgpack.Marshal([]namedLoad{named})
	require.NoError(t, err)
	var now []message.Load
	require.NoError(t, msgpack.Unmarshal(long, &now))
	assert.Equal(t, []message.Load{load}, now)
	assert.Less(t, len(short), len(long))

	short, err = msgpack.Marshal(beat)
	require.NoError(t, err)
	var beatBefore namedBeat
	require.NoError(t, msgpack.Unmarshal(short, &beatBefore))
	assert.Equal(t, namedB, beatBefore)
	long, err = msgpack.Marshal(namedB)
	require.NoError(t, err)
	var beatNow membership.Beat
	require.NoError(t, msgpack.Unmarshal(long, &beatNow))
	assert.Equal(t, beat, beatNow)
	assert.Less(t, len(short), len(long))
}

package message_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/message"
)

// The types as an earlier version encodes them, with a key for each field.
type (
	keyedLoad struct {
		Key     uint32 `msgpack:"k"`
		Running uint16 `msgpack:"r"`
		Waiting uint16 `msgpack:"w"`
		AgeMs   uint16 `msgpack:"a"`
	}
	keyedHeartbeat struct {
		Key       uint32 `msgpack:"k"`
		Heartbeat uint64 `msgpack:"b"`
	}
)

// TestArrayFormInteroperatesWithKeyedForm checks that loads and heartbeats, which are encoded without keys, can be read by the version that
// encodes them with keys, and vice versa.
func TestArrayFormInteroperatesWithKeyedForm(t *testing.T) {
	load, heartbeat := message.Load{InstanceKey: 7, Running: 3, Waiting: 2, AgeMs: 900}, membership.Heartbeat{Key: 9, Counter: 70000}
	keyed, keyedBeat := keyedLoad{7, 3, 2, 900}, keyedHeartbeat{9, 70000}

	array, err := msgpack.Marshal([]message.Load{load})
	require.NoError(t, err)
	var readByOld []keyedLoad
	require.NoError(t, msgpack.Unmarshal(array, &readByOld))
	assert.Equal(t, []keyedLoad{keyed}, readByOld)
	withKeys, err := msgpack.Marshal([]keyedLoad{keyed})
	require.NoError(t, err)
	var readByNew []message.Load
	require.NoError(t, msgpack.Unmarshal(withKeys, &readByNew))
	assert.Equal(t, []message.Load{load}, readByNew)
	assert.Less(t, len(array), len(withKeys))

	array, err = msgpack.Marshal(heartbeat)
	require.NoError(t, err)
	var beatReadByOld keyedHeartbeat
	require.NoError(t, msgpack.Unmarshal(array, &beatReadByOld))
	assert.Equal(t, keyedBeat, beatReadByOld)
	withKeys, err = msgpack.Marshal(keyedBeat)
	require.NoError(t, err)
	var beatReadByNew membership.Heartbeat
	require.NoError(t, msgpack.Unmarshal(withKeys, &beatReadByNew))
	assert.Equal(t, heartbeat, beatReadByNew)
	assert.Less(t, len(array), len(withKeys))
}

package msgpacklimit

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// What the library writes is whole, and less of it is not.
func TestWhole(t *testing.T) {
	value := rapid.Deferred(func() *rapid.Generator[any] {
		return rapid.OneOf(rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Float64().AsAny(), rapid.Bool().AsAny(), rapid.StringN(0, 80, -1).AsAny(),
			rapid.SliceOfN(rapid.Byte(), 0, 400).AsAny())
	})
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.MapOfN(rapid.StringN(0, 8, -1), rapid.SliceOfN(value, 0, 40), 0, 20).Draw(t, "value")
		b, err := msgpack.Marshal(m)
		require.NoError(t, err)
		require.NoError(t, Whole(b))
		require.ErrorIs(t, Whole(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]), ErrPacked)
	})
	for _, b := range []string{"\xdd\xff\xff\xff\xff", "\xdf\x00\x00\x00\x01\xc0", "\x92\xfa\xdd\xfa\xfa\xfa\xfa\xfa\xfa\xda", "\xc1", "\xc6\xff\xff\xff\xff"} {
		require.ErrorIs(t, Whole([]byte(b)), ErrPacked, "%x", b)
	}
	deep := make([]byte, 100)
	for i := range deep {
		deep[i] = 0x91
	}
	require.ErrorIs(t, Whole(append(deep, 0xc0)), ErrPacked)
}

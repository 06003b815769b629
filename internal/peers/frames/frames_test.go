package frames

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Unknown fields are skipped and known ones are decoded.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	body, err := Marshal(map[string]any{"f": "yard", "z": map[string]any{"deep": []int{1, 2}}, "n": "m01", "i": 7})
	require.NoError(t, err)
	var h Hello
	require.NoError(t, Unmarshal(body, &h))
	assert.Equal(t, Hello{Fleet: "yard", Name: "m01", ID: 7}, h)
}

// FuzzNext checks that no received bytes cause a panic, that a frame is not longer than the data, and that re-encoding a frame yields the same
// bytes.
func FuzzNext(f *testing.F) {
	hello, err := Marshal(Hello{Fleet: "yard", Name: "m01", ID: 7})
	require.NoError(f, err)
	frame, err := Append(nil, TopicHello, hello)
	require.NoError(f, err)
	f.Add(frame)
	f.Add(append(frame[:len(frame)-3:len(frame)-3], 0xc1, 0, 0, 0, 2, 1, 2))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 12, 1, 1, 0xdd, 0xff, 0xff, 0xff, 0xff}) // an array that claims four billion elements
	f.Fuzz(func(t *testing.T, data []byte) {
		for rest := data; ; {
			topic, body, n, err := Next(rest)
			if err != nil || n == 0 {
				return
			}
			require.LessOrEqual(t, n, len(rest))
			var h Hello
			_ = Unmarshal(body, &h) // an error is fine, a panic is not
			reencoded, err := Append(nil, topic, body)
			require.NoError(t, err)
			require.Equal(t, rest[:n], reencoded)
			rest = rest[n:]
		}
	})
}

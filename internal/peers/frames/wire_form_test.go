package frames

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Sidecars of different versions exchange frames, so each frame must have the bytes of its golden file and be decoded from them.
func TestWireForm(t *testing.T) {
	for _, c := range []struct {
		file   string
		topic  Topic
		value  any
		target any
	}{
		{"hello", TopicHello, &Hello{Fleet: "yard", Name: "m01", ID: 1 << 40, Address: "10.0.0.1:7", Body: []byte{1, 2}}, &Hello{}},
		{"hello_least", TopicHello, &Hello{}, &Hello{}},
		{"effect", TopicRole, &RoleMessage{Role: "report", Token: 1<<40 + 7, Origin: 3, Sequence: 300, Kind: 2, Body: []byte{1, 2}}, &RoleMessage{}},
		{"effect_refused", TopicRole, &RoleMessage{Role: "report", Token: 7, Origin: 3, Kind: KindRejected}, &RoleMessage{}},
	} {
		t.Run(c.file, func(t *testing.T) {
			raw, err := os.ReadFile("testdata/wire/" + c.file + ".hex")
			require.NoError(t, err)
			body, err := Marshal(c.value)
			require.NoError(t, err)
			frame, err := Append(nil, c.topic, body)
			require.NoError(t, err)
			assert.Equal(t, strings.TrimSpace(string(raw)), hex.EncodeToString(frame))
			topic, body, length, err := Next(frame)
			require.NoError(t, err)
			assert.Equal(t, c.topic, topic)
			assert.Equal(t, len(frame), length)
			require.NoError(t, Unmarshal(body, c.target))
			assert.Equal(t, c.value, c.target)
		})
	}
	assert.Equal(t, []Topic{1, 2, 3, 4}, []Topic{TopicHello, TopicMembership, TopicLease, TopicRole})
}

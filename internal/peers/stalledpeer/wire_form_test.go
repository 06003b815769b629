package stalledpeer

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The frames are those of its golden file: what a sidecar of any version is sent stays the same.
func TestWireForm(t *testing.T) {
	raw, err := os.ReadFile("testdata/wire/frames.hex")
	require.NoError(t, err)
	hello, ask, err := Frames("yard", "10.0.0.1:7")
	require.NoError(t, err)
	assert.Equal(t, strings.Fields(string(raw)), []string{hex.EncodeToString(hello), hex.EncodeToString(ask)})
}

package stalledpeer

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The frames have the bytes of their golden file, so that sidecars of all versions get the same input.
func TestWireForm(t *testing.T) {
	raw, err := os.ReadFile("testdata/wire/frames.hex")
	require.NoError(t, err)
	hello, request, err := Frames("yard", "10.0.0.1:7")
	require.NoError(t, err)
	assert.Equal(t, strings.Fields(string(raw)), []string{hex.EncodeToString(hello), hex.EncodeToString(request)})
}

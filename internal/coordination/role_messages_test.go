package coordination

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Messages that arrive in any order and any number of times are accepted once each, unless they are older than the window.
func TestReplayWindowAcceptsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w replayWindow
		seen, last := map[uint64]bool{}, uint64(0)
		for _, sequence := range rapid.SliceOf(rapid.Uint64Range(1, 200)).Draw(t, "sequence numbers") {
			accepted := w.accept(1, sequence)
			switch {
			case seen[sequence]:
				require.False(t, accepted, "%d", sequence)
			case sequence+replayWindowSize > last:
				require.True(t, accepted, "%d", sequence)
			}
			seen[sequence], last = true, max(last, sequence)
		}
	})
	var w replayWindow
	assert.True(t, w.accept(1, 5) && w.accept(2, 5) && !w.accept(2, 5))
}

package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// After a server has sent bytes after a response, the reuse delay is longer for reuseExtensionSeconds.
func TestReuseDelayIsExtended(t *testing.T) {
	var s reuseDelay
	assert.Equal(t, reuseDelaySeconds, s.seconds(100))
	s.extend(100)
	assert.Equal(t, extendedReuseDelaySeconds, s.seconds(100))
	s.extend(120)
	assert.Equal(t, extendedReuseDelaySeconds, s.seconds(179))
	assert.Equal(t, reuseDelaySeconds, s.seconds(120+reuseExtensionSeconds))
}

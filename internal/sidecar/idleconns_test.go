package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// After a server has sent bytes after a response, the reuse delay is longer for reuseExtensionSeconds.
func TestReuseDelayIsExtended(t *testing.T) {
	var delay reuseDelay
	assert.Equal(t, reuseDelaySeconds, delay.seconds(100))
	delay.extend(100)
	assert.Equal(t, extendedReuseDelaySeconds, delay.seconds(100))
	delay.extend(120)
	assert.Equal(t, extendedReuseDelaySeconds, delay.seconds(179))
	assert.Equal(t, reuseDelaySeconds, delay.seconds(120+reuseExtensionSeconds))
}

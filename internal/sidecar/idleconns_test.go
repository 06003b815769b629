package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Once a server has sent more behind an answer, connections rest for longer, for a while.
func TestSettling(t *testing.T) {
	var s reuseDelay
	assert.Equal(t, reuseDelaySeconds, s.seconds(100))
	s.extend(100)
	assert.Equal(t, extendedReuseDelaySeconds, s.seconds(100))
	s.extend(120)
	assert.Equal(t, extendedReuseDelaySeconds, s.seconds(179))
	assert.Equal(t, reuseDelaySeconds, s.seconds(120+reuseExtensionSeconds))
}

package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Once a server has sent more behind an answer, connections rest for twice as long as that took, within a bound and for a while.
func TestSettling(t *testing.T) {
	var s settling
	assert.Equal(t, settleS, s.at(100))
	s.stray(100, 0.01)
	assert.Equal(t, 0.02, s.at(100))
	s.stray(110, 0.001)
	assert.Equal(t, 0.02, s.at(110), "what was seen before counts on")
	s.stray(120, 3)
	assert.Equal(t, mostSettleS, s.at(179))
	assert.Equal(t, settleS, s.at(120+strayMemoryS))
}

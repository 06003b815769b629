package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Once a server has sent more behind an answer, connections rest for longer, for a while.
func TestSettling(t *testing.T) {
	var s settling
	assert.Equal(t, settleS, s.at(100))
	s.noteStray(100)
	assert.Equal(t, straySettleS, s.at(100))
	s.noteStray(120)
	assert.Equal(t, straySettleS, s.at(179))
	assert.Equal(t, settleS, s.at(120+strayMemoryS))
}

package sockets

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The clock of the decisions is far from zero, where a start long ago is written.
func TestClock(t *testing.T) {
	c := newClock()
	assert.Greater(t, c.now(), 1.7e9)
	assert.InDelta(t, c.now(), float64(c.time(c.now()).UnixMicro())/1e6, 0.1)
}

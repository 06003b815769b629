package sockets

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The clock must show Unix time: near 0, start times would look as if they were long ago.
func TestClockCountsUnixTime(t *testing.T) {
	c := newClock()
	assert.Greater(t, c.now(), 1.7e9)
	assert.InDelta(t, c.now(), float64(c.time(c.now()).UnixMicro())/1e6, 0.1)
}

package sim

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/netio/virtual"
)

// decodeCounters returns the sidecar's counters.
func (s *scenario) decodeCounters() (c struct {
	Stalls, Failed, Throttled, Served uint64
	ExecutionEnds                     map[string]uint64 `json:"execution_ends"`
	ProbeEnds                         map[string]uint64 `json:"probe_ends"`
}) {
	require.NoError(s.t, json.Unmarshal(s.sidecar.(sidecarProgram).Counters(), &c))
	return c
}

// A loop that stalls for 300 ms again and again fails no server: what arrived meanwhile counts from its arrival, deadlines are
// handled after it, and requests are served.
func TestStallFailsNoServer(t *testing.T) {
	for seed := range uint64(10) {
		s := startScenario(t, seed, 4, virtual.ProcessOptions{})
		s.run(1)
		for _, b := range s.servers {
			b.responds = true
		}
		for range 20 {
			s.sendRequest(900)
			s.process.Stall(s.network.Now() + 0.3)
			s.run(0.31 + 0.05*float64(seed%7))
		}
		s.run(1)
		c := s.decodeCounters()
		assert.Equal(t, 20, strings.Count(s.client.received.String(), "HTTP/1.1 200"), "%+v", c)
		assert.GreaterOrEqual(t, c.Stalls, uint64(10))
		for _, ends := range []map[string]uint64{c.ExecutionEnds, c.ProbeEnds} {
			for _, bad := range []string{"timed_out", "connect_failed", "reset", "host_error"} {
				assert.Zero(t, ends[bad], "%s: %+v", bad, c)
			}
		}
	}
}

// After a stall, responses that arrived before a deadline are handled before the deadline is.
func TestDeadlineDuringStall(t *testing.T) {
	s := startScenario(t, 1, 2, virtual.ProcessOptions{})
	s.sendRequest(400)
	s.run(0.05)
	held := s.connWithRequest()
	s.process.Stall(s.network.Now() + 0.5) // beyond the deadline, and the answer comes before it
	_, err := held.Write([]byte(responseText))
	require.NoError(t, err)
	s.run(1)
	assert.Equal(t, 1, strings.Count(s.client.received.String(), "HTTP/1.1"))
	assert.Zero(t, s.decodeCounters().ExecutionEnds["timed_out"], "the box was in time")
}

// A slow server is detected although the loop is late.
func TestSlowServerIsDetectedDuringStalls(t *testing.T) {
	s := startScenario(t, 1, 2, virtual.ProcessOptions{})
	s.sendRequest(600)
	for range 10 {
		s.process.Stall(s.network.Now() + 0.1)
		s.run(0.12)
	}
	assert.EqualValues(t, 1, s.decodeCounters().ExecutionEnds["timed_out"])
}

package sim

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/netio/virtual"
)

// counted returns the sidecar's counters.
func (s *stage) counted() (c struct {
	Stalls, Failed, Throttled, Served uint64
	ExecutionEnds                     map[string]uint64 `json:"execution_ends"`
	ProbeEnds                         map[string]uint64 `json:"probe_ends"`
}) {
	require.NoError(s.t, json.Unmarshal(s.sidecar.(sidecarProgram).Counters(), &c))
	return c
}

// A loop that stands still for 300 ms, again and again, blames no box: what came meanwhile counts as of when it came, what
// was due is done after that, and requests are served as before.
func TestStallBlamesNobody(t *testing.T) {
	for seed := range uint64(10) {
		s := begin(t, seed, 4, virtual.ProcessOptions{})
		s.play(1)
		for _, b := range s.boxes {
			b.answers = true
		}
		for range 20 {
			s.ask(900)
			s.proc.Stall(s.net.Now() + 0.3)
			s.play(0.31 + 0.05*float64(seed%7))
		}
		s.play(1)
		c := s.counted()
		assert.Equal(t, 20, strings.Count(s.client.got.String(), "HTTP/1.1 200"), "%+v", c)
		assert.GreaterOrEqual(t, c.Stalls, uint64(10))
		for _, ends := range []map[string]uint64{c.ExecutionEnds, c.ProbeEnds} {
			for _, bad := range []string{"timed_out", "connect_failed", "reset", "host_error"} {
				assert.Zero(t, ends[bad], "%s: %+v", bad, c)
			}
		}
	}
}

// What waits through a stall is ended in the order of its deadlines, after all that came in time was read.
func TestDeadlinesInAStall(t *testing.T) {
	s := begin(t, 1, 2, virtual.ProcessOptions{})
	s.ask(400)
	s.play(0.05)
	held := s.holder()
	s.proc.Stall(s.net.Now() + 0.5) // beyond the deadline, and the answer comes before it
	_, err := held.Write([]byte(answer))
	require.NoError(t, err)
	s.play(1)
	assert.Equal(t, 1, strings.Count(s.client.got.String(), "HTTP/1.1"))
	assert.Zero(t, s.counted().ExecutionEnds["timed_out"], "the box was in time")
}

// A box that really is slow is found while the loop is late.
func TestSlowBoxIsFoundInStalls(t *testing.T) {
	s := begin(t, 1, 2, virtual.ProcessOptions{})
	s.ask(600)
	for range 10 {
		s.proc.Stall(s.net.Now() + 0.1)
		s.play(0.12)
	}
	assert.EqualValues(t, 1, s.counted().ExecutionEnds["timed_out"])
}

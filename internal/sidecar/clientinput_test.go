package sidecar

import (
	"log/slog"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/policy"
)

// clockLoop is an event loop whose time the test sets.
type clockLoop struct {
	fakeLoop
	now float64
}

func (n *clockLoop) Now() float64 { return n.now }

// partialCodec is a codec that has received part of a request. It records the error with which the request is rejected.
type partialCodec struct {
	ClientCodec
	arrivedBytes int
	rejection    error
}

func (c *partialCodec) ReadRequest(*buffer.Buffer) (bool, error) { return false, nil }
func (c *partialCodec) PartialRequest() (int, bool)              { return c.arrivedBytes, true }
func (c *partialCodec) RejectMalformed(err error)                { c.rejection = err }

// partialRequest returns a sidecar with a connection on which part of a request has arrived.
func partialRequest(t *testing.T) (*clockLoop, *partialCodec, *Sidecar) {
	var cfg sidecarconfig.Config
	cfg.Settings.Policy.Classes = []policy.Class{{Name: "read", LatencyTargetSeconds: 1, TotalTimeoutSeconds: 3}}
	n, client := &clockLoop{now: testNow}, &partialCodec{arrivedBytes: 1}
	s, err := New(cfg, featureconfig.Features{}, nil, n, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	s.timers.setAlarm = n.SetAlarm
	s.runCallback(func() {
		c := &ClientConn{sidecar: s, codec: client, conn: &fakeConn{}, openedAt: testNow}
		c.slot, _ = s.clients.admission.Add(testNow, netip.MustParseAddr("127.0.0.1"), c)
		c.awaitArrival()
	})
	return n, client, s
}

// runUntil runs the loop every 10 ms until the given time, in seconds since the request began to arrive.
func (n *clockLoop) runUntil(s *Sidecar, untilSeconds float64) {
	const intervalSeconds = 0.01
	for n.now+intervalSeconds < testNow+untilSeconds {
		n.stallUntil(s, n.now+intervalSeconds-testNow)
	}
	n.stallUntil(s, untilSeconds)
}

// stallUntil moves the clock to the given time and only then runs the loop.
func (n *clockLoop) stallUntil(s *Sidecar, untilSeconds float64) {
	n.now = testNow + untilSeconds
	s.Alarm()
}

// A request whose rest does not arrive in time is rejected. Time in which the sidecar itself stalled does not count, since data may have
// arrived in the socket meanwhile.
func TestRequestArrivalTimeout(t *testing.T) {
	const recheckSeconds = 0.11 // time until an overdue request is checked again
	t.Run("the client is late", func(t *testing.T) {
		n, client, s := partialRequest(t)
		n.runUntil(s, arrivalTimeoutSeconds)
		assert.NoError(t, client.rejection)
		n.runUntil(s, arrivalTimeoutSeconds+recheckSeconds)
		assert.ErrorIs(t, client.rejection, ErrRequestTimeout)
	})
	t.Run("the loop stalled", func(t *testing.T) {
		n, client, s := partialRequest(t)
		n.runUntil(s, 1)
		n.stallUntil(s, 4)
		stalledSeconds := s.fitness.stalledSeconds
		assert.GreaterOrEqual(t, stalledSeconds, 4-arrivalTimeoutSeconds, "the stall must outlast the timeout")
		n.runUntil(s, arrivalTimeoutSeconds+stalledSeconds-0.01)
		assert.NoError(t, client.rejection)
		n.runUntil(s, arrivalTimeoutSeconds+stalledSeconds+recheckSeconds)
		assert.ErrorIs(t, client.rejection, ErrRequestTimeout)
	})
}

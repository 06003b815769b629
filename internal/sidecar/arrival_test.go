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

// clockNet is a loop whose time the test sets.
type clockNet struct {
	testNet
	now float64
}

func (n *clockNet) Now() float64 { return n.now }

// partialClient has brought a part of a request, of some bytes, and keeps with what it was declined.
type partialClient struct {
	ClientCodec
	came     int
	declined error
}

func (c *partialClient) ReadRequest(*buffer.Buffer) (bool, error) { return false, nil }
func (c *partialClient) PartialRequest() (int, bool)              { return c.came, true }
func (c *partialClient) RejectMalformed(err error)                { c.declined = err }

// partialRequest returns a link on which a part of a request has come.
func partialRequest(t *testing.T) (*clockNet, *partialClient, *Sidecar) {
	var cfg sidecarconfig.Config
	cfg.Settings.Policy.Classes = []policy.Class{{Name: "read", LatencyTargetSeconds: 1, TotalTimeoutSeconds: 3}}
	n, client := &clockNet{now: testNow}, &partialClient{came: 1}
	s, err := New(cfg, featureconfig.Features{}, nil, n, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	s.timers.setAlarm = n.SetAlarm
	s.runCallback(func() {
		l := &ClientConn{sidecar: s, codec: client, conn: &testConn{}, openedAt: testNow}
		l.slot, _ = s.clients.admission.Add(testNow, netip.MustParseAddr("127.0.0.1"), l)
		l.awaitArrival()
	})
	return n, client, s
}

// turnUntil has the loop turn often enough for all that is due until a time, in seconds since the request began to come.
func (n *clockNet) turnUntil(s *Sidecar, until float64) {
	const everyS = 0.01
	for n.now+everyS < testNow+until {
		n.standUntil(s, n.now+everyS-testNow)
	}
	n.standUntil(s, until)
}

// standUntil has the loop turn at a time, and not before.
func (n *clockNet) standUntil(s *Sidecar, until float64) {
	n.now = testNow + until
	s.Alarm()
}

// A request of which the rest does not come is declined, and the time in which the sidecar itself stood still does not count as its
// client's: what came then lay in the socket.
func TestTimeForARequestToArrive(t *testing.T) {
	const again = 0.11 // after which an overdue request is looked at again, in seconds
	t.Run("the client is late", func(t *testing.T) {
		n, client, s := partialRequest(t)
		n.turnUntil(s, arrivalTimeoutSeconds)
		assert.NoError(t, client.declined)
		n.turnUntil(s, arrivalTimeoutSeconds+again)
		assert.ErrorIs(t, client.declined, ErrRequestTimeout)
	})
	t.Run("the loop stood still", func(t *testing.T) {
		n, client, s := partialRequest(t)
		n.turnUntil(s, 1)
		n.standUntil(s, 4)
		stood := s.fitness.stalledSeconds
		assert.GreaterOrEqual(t, stood, 4-arrivalTimeoutSeconds, "the request was due by then, if nothing else was")
		n.turnUntil(s, arrivalTimeoutSeconds+stood-0.01)
		assert.NoError(t, client.declined)
		n.turnUntil(s, arrivalTimeoutSeconds+stood+again)
		assert.ErrorIs(t, client.declined, ErrRequestTimeout)
	})
}

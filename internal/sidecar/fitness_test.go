package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/policy"
)

// tickingLoop is a fakeLoop whose clock the test advances.
type tickingLoop struct {
	fakeLoop
	at *float64
}

func (n tickingLoop) Now() float64 { return *n.at }

// A sidecar takes no roles while it stalls for more than maxStalledFraction of the time, no server responds, or it is drained.
func TestCanTakeRoles(t *testing.T) {
	s, now := newTestSidecar(t), testNow
	s.net = tickingLoop{at: &now}
	reasonAfter := func(seconds float64, each func()) (reason string) {
		for end := now + seconds; now < end; now++ {
			each()
			_, reason = s.CanTakeRoles()
		}
		return reason
	}
	outcomes := &s.counters.attemptOutcomes
	respond := func() { outcomes.count(policy.OK) }
	assert.Empty(t, reasonAfter(20, respond))
	assert.Empty(t, reasonAfter(20, func() { respond(); s.fitness.stalledSeconds += 0.2 }), "short stalls are tolerated")
	assert.Equal(t, "starved of its core", reasonAfter(6, func() { respond(); s.fitness.stalledSeconds += 0.5 }))
	assert.Empty(t, reasonAfter(20, respond))
	assert.Empty(t, reasonAfter(20, func() {}), "there are no requests")
	assert.Equal(t, "cut off from boxes", reasonAfter(8, func() { outcomes.count(policy.ConnectFailed) }))
	assert.Empty(t, reasonAfter(2, respond))
	assert.Empty(t, reasonAfter(20, func() { respond(); outcomes.count(policy.TimedOut) }), "some servers do not respond")
	assert.NoError(t, s.DrainByOperator())
	assert.Equal(t, "drained", reasonAfter(2, respond))
	assert.NoError(t, s.UndrainByOperator())
	assert.Empty(t, reasonAfter(2, respond))
}

// RequestStats counts each request once, and recording a request does not allocate.
func TestRequestStats(t *testing.T) {
	s := newTestSidecar(t)
	assert.Nil(t, s.RequestStats())
	s.EnableRequestStats()
	r := &request{deadline: testNow + 1, timeoutSeconds: 2}
	assert.Zero(t, testing.AllocsPerRun(100, func() { s.countRequestEnd(r, served) }))
	s.countRequestEnd(r, failed)
	stats := s.RequestStats()
	assert.Equal(t, uint64(101), stats[0].Served)
	assert.Equal(t, uint64(1), stats[0].Failed)
	n := int64(0)
	for _, c := range stats[0].LatencyCounts {
		n += c
	}
	assert.Equal(t, int64(101), n)
	assert.Zero(t, s.RequestStats()[0].Served)
}

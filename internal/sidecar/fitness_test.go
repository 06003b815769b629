package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/policy"
)

// tickingNet is a testNet whose clock is moved by hand.
type tickingNet struct {
	testNet
	at *float64
}

func (n tickingNet) Now() float64 { return *n.at }

// A sidecar that stands still for a third of its time, that no box answers or that is drained does not work for others; that passes.
func TestFit(t *testing.T) {
	s, now := newTestSidecar(t), testNow
	s.net = tickingNet{at: &now}
	look := func(forS float64, each func()) (why string) {
		for end := now + forS; now < end; now++ {
			each()
			_, why = s.CanTakeRoles()
		}
		return why
	}
	by := &s.counters.attemptOutcomes
	answered := func() { by.count(policy.OK) }
	assert.Empty(t, look(20, answered))
	assert.Empty(t, look(20, func() { answered(); s.fitness.stalledSeconds += 0.2 }), "now and then is no harm")
	assert.Equal(t, "starved of its core", look(6, func() { answered(); s.fitness.stalledSeconds += 0.5 }))
	assert.Empty(t, look(20, answered))
	assert.Empty(t, look(20, func() {}), "nothing to do")
	assert.Equal(t, "cut off from boxes", look(8, func() { by.count(policy.ConnectFailed) }))
	assert.Empty(t, look(2, answered))
	assert.Empty(t, look(20, func() { answered(); by.count(policy.TimedOut) }), "some boxes do not answer")
	assert.NoError(t, s.DrainByOperator())
	assert.Equal(t, "drained", look(2, answered))
	assert.NoError(t, s.UndrainByOperator())
	assert.Empty(t, look(2, answered))
}

// What is measured is told once, and filling it in costs no allocation.
func TestMeasured(t *testing.T) {
	s := newTestSidecar(t)
	assert.Nil(t, s.RequestStats())
	s.EnableRequestStats()
	r := &request{deadline: testNow + 1, timeoutSeconds: 2}
	assert.Zero(t, testing.AllocsPerRun(100, func() { s.countRequestEnd(r, served) }))
	s.countRequestEnd(r, failed)
	m := s.RequestStats()
	assert.Equal(t, uint64(101), m[0].Served)
	assert.Equal(t, uint64(1), m[0].Failed)
	n := int64(0)
	for _, c := range m[0].LatencyCounts {
		n += c
	}
	assert.Equal(t, int64(101), n)
	assert.Zero(t, s.RequestStats()[0].Served)
}

package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/policy"
)

// A server whose connections break during requests counts as failing until it responds. An attempt that the policy cancelled and an
// answered probe change nothing.
func TestServerWithBrokenConnsIsFailing(t *testing.T) {
	s := newTestSidecar(t)
	s.EnableMaintenance()
	tracker, now := s.maintenance, testNow
	record := func(request *request, err *attemptError) {
		tracker.recordAttempt(&attempt{serverID: 7, request: request}, err, &policy.Result{}, now)
	}
	r := &request{}
	broken, cancelledByPolicy := &attemptError{fullyWritten, connBroken, errUnsolicited}, &attemptError{fullyWritten, cancelled, nil}
	record(r, broken)
	assert.False(t, tracker.isFailing(7, now), "one connection may have broken while idle")
	record(r, cancelledByPolicy)
	record(nil, nil)
	record(r, broken)
	assert.True(t, tracker.isFailing(7, now))
	assert.False(t, tracker.isFailing(8, now))
	assert.False(t, tracker.isFailing(7, now+failingSeconds), "the last broken connection is too long ago")
	record(r, nil)
	assert.False(t, tracker.isFailing(7, now))
	record(r, broken)
	assert.False(t, tracker.isFailing(7, now))
}

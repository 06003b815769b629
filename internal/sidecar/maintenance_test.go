package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/policy"
)

// A box that hangs up on requests fails for those who settle work on boxes, however quickly it does, until it answers one; that a client
// left, or that a probe was answered, changes nothing.
func TestHangUps(t *testing.T) {
	s := newTestSidecar(t)
	s.EnableMaintenance()
	w, now := s.maintenance, testNow
	ends := func(request *request, err *attemptError) {
		w.recordAttempt(&attempt{serverID: 7, request: request}, err, &policy.Result{}, now)
	}
	r := &request{}
	hangsUp, left := &attemptError{fullyWritten, connBroken, errUnsolicited}, &attemptError{fullyWritten, cancelled, nil}
	ends(r, hangsUp)
	assert.False(t, w.isFailing(7, now), "one link may have died while idle")
	ends(r, left)
	ends(nil, nil)
	ends(r, hangsUp)
	assert.True(t, w.isFailing(7, now))
	assert.False(t, w.isFailing(8, now))
	assert.False(t, w.isFailing(7, now+failingSeconds), "nothing was sent there for long")
	ends(r, nil)
	assert.False(t, w.isFailing(7, now))
	ends(r, hangsUp)
	assert.False(t, w.isFailing(7, now))
}

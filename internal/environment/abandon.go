package environment

import "hazelwheel/internal/checker"

// Clients that leave early do so in bursts, so far apart at least and at most.
const (
	minAbandonBurstSeconds = 0.2
	maxAbandonBurstSeconds = 1.2
)

// LeaveEarly has a share of the clients that begin a request until a time leave before its time is over, half of them together with
// others. What they tell the sidecar to wait is not changed by it.
func (a *Application) AbandonEarly(share, until float64) {
	a.net.Post(func() {
		a.earlyShare, a.earlyUntil, a.nextAbandonBurst = share, max(a.earlyUntil, until), a.net.Now()
	})
}

// leavesEarly draws whether the client of a try that begins now leaves early, and when.
func (a *Application) drawEarlyAbandon(op *operation, now float64) (at float64, leaves bool) {
	if now >= a.earlyUntil || a.earlyAbandons.Float64() >= a.earlyShare {
		return 0, false
	}
	for a.nextAbandonBurst <= now {
		a.nextAbandonBurst += minAbandonBurstSeconds + (maxAbandonBurstSeconds-minAbandonBurstSeconds)*a.earlyAbandons.Float64()
	}
	if at = a.nextAbandonBurst; a.earlyAbandons.IntN(2) == 0 {
		at = now + a.earlyAbandons.Float64()*(op.requestDeadline-now)
	}
	return at, at < op.requestDeadline
}

// departEarly has a client leave before its time is over; one in four ends its direction of the connection alone and reads on.
func (a *Application) abandonEarly(op *operation, now float64) {
	conn := op.conn
	if out := conn != nil && conn.conn != nil && conn.operation == op && conn.isSent; out && a.earlyAbandons.IntN(4) == 0 {
		conn.isHalfClosed = true
		a.observe(checker.RequestHalfClosed, op, conn)
		a.net.CloseWrite(conn.conn)
		return
	}
	a.abandon(op, now)
}

package environment

import "hazelwheel/internal/checker"

// The least and the longest time between two bursts of abandoned requests.
const (
	minAbandonBurstSeconds = 0.2
	maxAbandonBurstSeconds = 1.2
)

// AbandonEarly has a share of the requests that start until a time be abandoned before their deadline, half of them in bursts.
// The timeout that they send to the sidecar is not changed by it. It may be called from any goroutine.
func (a *Application) AbandonEarly(share, until float64) {
	a.net.Post(func() {
		a.earlyShare, a.earlyUntil, a.nextAbandonBurst = share, max(a.earlyUntil, until), a.net.Now()
	})
}

// drawEarlyAbandon draws whether a request that starts now is abandoned early, and when.
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

// abandonEarly abandons a request before its deadline; one in four clients closes its direction of the connection alone and
// reads on.
func (a *Application) abandonEarly(op *operation, now float64) {
	conn := op.conn
	if isInFlight := conn != nil && conn.conn != nil && conn.operation == op && conn.isSent; isInFlight && a.earlyAbandons.IntN(4) == 0 {
		conn.isHalfClosed = true
		a.observe(checker.RequestHalfClosed, op, conn)
		a.net.CloseWrite(conn.conn)
		return
	}
	a.abandon(op, now)
}

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
func (a *Application) drawEarlyAbandon(k *operation, now float64) (at float64, leaves bool) {
	if now >= a.earlyUntil || a.earlyAbandons.Float64() >= a.earlyShare {
		return 0, false
	}
	for a.nextAbandonBurst <= now {
		a.nextAbandonBurst += minAbandonBurstSeconds + (maxAbandonBurstSeconds-minAbandonBurstSeconds)*a.earlyAbandons.Float64()
	}
	if at = a.nextAbandonBurst; a.earlyAbandons.IntN(2) == 0 {
		at = now + a.earlyAbandons.Float64()*(k.requestDeadline-now)
	}
	return at, at < k.requestDeadline
}

// departEarly has a client leave before its time is over; one in four ends its direction of the connection alone and reads on.
func (a *Application) abandonEarly(k *operation, now float64) {
	link := k.conn
	if out := link != nil && link.conn != nil && link.operation == k && link.isSent; out && a.earlyAbandons.IntN(4) == 0 {
		link.isHalfClosed = true
		a.observe(checker.RequestHalfClosed, k, link)
		a.net.CloseWrite(link.conn)
		return
	}
	a.abandon(k, now)
}

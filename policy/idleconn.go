package policy

const (
	idleDistrustSeconds = 30.0 // how long idle connections are distrusted
)

// lostIdle tells whether an attempt was lost with a connection that was dropped unseen while idle. Danger:
// most of what a proxy with little traffic sends is lost so. Evidence that it is the connection and not the
// host: only attempts on idle ones are lost, in a row, at any host. For a while connections that were idle
// for half as long are closed before a send. It costs handshakes.
func (b *Balancer) lostOnIdleConn(o inFlightAttempt, res Result) bool {
	if (res.Outcome == OK || res.Outcome == HostError) && o.connIdleSeconds > 0 {
		b.idleConnLosses *= 0.5
	}
	quick := res.Outcome == Reset && res.DelaySeconds < 0.25*o.expectedSeconds // nothing but a dead connection is so quick
	if o.connIdleSeconds < 0.2 || res.Outcome != Reset && res.Outcome != TimedOut {
		return quick
	}
	if b.idleConnLosses++; b.now >= b.idleDistrustUntil || o.connIdleSeconds < 2*b.maxConnIdleSeconds {
		b.maxConnIdleSeconds = 0.5 * o.connIdleSeconds
	}
	if b.idleConnLosses > 1.5 || quick {
		if b.now >= b.idleDistrustUntil {
			b.actions.Log("connections die while idle: closing idle ones before sends")
		}
		b.idleDistrustUntil = b.now + idleDistrustSeconds
	}
	return quick
}

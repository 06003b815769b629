package policy

const (
	// idleDistrustSeconds is how long idle connections are closed before sends after some were lost.
	idleDistrustSeconds = 30.0
	// minIdleSeconds is the idle time below which a loss does not count as one of an idle connection.
	minIdleSeconds = 0.2
	// minIdleConnLosses is how many losses in a row, with a success in between counting half, start the distrust.
	minIdleConnLosses = 1.5
)

// useIdleConn returns for how many seconds the connections to a host have been idle before a send; 0: an attempt is in flight on
// one, the host program has closed them after ConnIdleTimeoutSeconds, or they were closed here since idle connections are
// distrusted.
func (b *Balancer) useIdleConn(h *host) float64 {
	if len(h.inFlight) > 0 || b.now-h.lastResponseAt >= b.settings.ConnIdleTimeoutSeconds {
		return 0
	}
	idleSeconds := b.now - h.lastResponseAt
	if idleSeconds > b.maxConnIdleSeconds && b.now < b.idleDistrustUntil {
		b.actions.CloseIdle(h.ID)
		return 0
	}
	return idleSeconds
}

// lostOnIdleConn returns whether an attempt was lost with a connection that had been dropped unnoticed while idle, by a
// firewall for instance, so that the outcome says nothing of the host.
//
// Danger: a proxy with little traffic would lose most attempts so. What tells such losses from those by a host: only attempts on
// idle connections are lost, in a row, at any host, and with a reset that is faster than any answer. For idleDistrustSeconds
// connections that were idle for half as long are then closed before a send. The price is connection setups.
func (b *Balancer) lostOnIdleConn(sent inFlightAttempt, res Result) bool {
	if (res.Outcome == OK || res.Outcome == HostError) && sent.connIdleSeconds > 0 {
		b.idleConnLosses *= 0.5
	}
	isFastReset := res.Outcome == Reset && res.DelaySeconds < 0.25*sent.expectedSeconds
	if sent.connIdleSeconds < minIdleSeconds || res.Outcome != Reset && res.Outcome != TimedOut {
		return isFastReset
	}
	b.idleConnLosses++
	if b.now >= b.idleDistrustUntil || sent.connIdleSeconds < 2*b.maxConnIdleSeconds {
		b.maxConnIdleSeconds = 0.5 * sent.connIdleSeconds
	}
	if b.idleConnLosses > minIdleConnLosses || isFastReset {
		if b.now >= b.idleDistrustUntil {
			b.actions.Log("connections die while idle: closing idle ones before sends")
		}
		b.idleDistrustUntil = b.now + idleDistrustSeconds
	}
	return isFastReset
}

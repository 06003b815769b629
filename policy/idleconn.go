package policy

const (
	// idleDistrustSeconds is for how long idle connections are closed before each send, after attempts on some were lost.
	idleDistrustSeconds = 30.0
	// minIdleSeconds is the shortest idle time with which a loss counts as one on an idle connection.
	minIdleSeconds = 0.2
	// minIdleConnLosses is the number of consecutive losses above which idle connections are distrusted; a success in between
	// halves the number.
	minIdleConnLosses = 1.5
)

// useIdleConn returns for how many seconds the connections to a host have been idle before a send. It returns 0 if an attempt is
// in flight, if the host program has closed the connections after ConnIdleTimeoutSeconds, or if useIdleConn itself closes them
// because idle connections are distrusted.
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

// lostOnIdleConn returns whether an attempt was lost because its idle connection had been dropped unnoticed, for instance by a
// firewall, so that the outcome tells nothing about the host.
//
// A proxy with little traffic would otherwise lose most of its attempts this way. Such losses differ from failures of a host:
// they affect only attempts on idle connections, follow each other at any host, and end with a reset that arrives sooner than any
// answer could. After them, for idleDistrustSeconds, connections that were idle for at least half as long as the lost one are
// closed before a send. This costs additional connection setups.
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

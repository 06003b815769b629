package policy

const (
	dropFor = 30.0 // how long idle connections are distrusted
)

// lostIdle tells whether an attempt was lost with a connection that was dropped unseen while idle. Danger:
// most of what a proxy with little traffic sends is lost so. Evidence that it is the connection and not the
// host: only attempts on idle ones are lost, in a row, at any host. For a while connections that were idle
// for half as long are closed before a send. It costs handshakes.
func (b *Balancer) lostIdle(o out, res Result) bool {
	if (res.Outcome == OK || res.Outcome == HostError) && o.idle > 0 {
		b.deadIdle *= 0.5
	}
	quick := res.Outcome == Reset && res.DelaySeconds < 0.25*o.expected // nothing but a dead connection is so quick
	if o.idle < 0.2 || res.Outcome != Reset && res.Outcome != TimedOut {
		return quick
	}
	if b.deadIdle++; b.now >= b.dropUntil || o.idle < 2*b.dropAge {
		b.dropAge = 0.5 * o.idle
	}
	if b.deadIdle > 1.5 || quick {
		if b.now >= b.dropUntil {
			b.do.Log("connections die while idle: closing idle ones before sends")
		}
		b.dropUntil = b.now + dropFor
	}
	return quick
}

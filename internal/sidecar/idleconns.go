package sidecar

import (
	"cmp"
	"slices"

	"hazelwheel/internal/endpointset"
)

// closeIdleConns closes the idle connections to a server. Danger: each close shortens the list.
func (s *Sidecar) closeIdleConns(serverID uint32) {
	for len(s.backends.idle[serverID]) > 0 {
		s.backends.idle[serverID][0].close()
	}
}

const (
	// reuseDelaySeconds is how long after a response more bytes, or the end of the connection, are likely to follow.
	reuseDelaySeconds = 0.002
	// extendedReuseDelaySeconds replaces it for reuseExtensionSeconds after a server has sent bytes behind a response.
	extendedReuseDelaySeconds = 0.05
	reuseExtensionSeconds     = 60.0
)

// reuseDelay is how long a connection stays idle before it is used again while others can be had.
type reuseDelay struct{ extendedUntil float64 }

// seconds returns the delay that holds at a time.
func (d *reuseDelay) seconds(now float64) float64 {
	if now < d.extendedUntil {
		return extendedReuseDelaySeconds
	}
	return reuseDelaySeconds
}

// extend notes that a server has sent bytes behind its response. Danger: a second copy of a response that arrives on a connection in use
// would be taken for the response to its next request.
func (d *reuseDelay) extend(now float64) { d.extendedUntil = now + reuseExtensionSeconds }

// takeIdleConn returns the idle connection to a server that was used last and removes it from the pool, nil if there is none. The newest is
// the least likely to have been closed by its server, and the others can grow old and be closed. Danger: bytes that a server sends a moment
// after a response would be taken for the response to the next request; a connection within the reuse delay is taken only if no new one can
// be opened.
func (s *Sidecar) takeIdleConn(endpoint *endpointset.Host, frontend Frontend) *backendConn {
	for {
		idle := s.backends.idle[endpoint.ID]
		var b *backendConn
		idleBefore := s.now() - s.backends.reuseDelay.seconds(s.now())
		for i := len(idle) - 1; i >= 0 && (b == nil || b.idleSince > idleBefore); i-- {
			if idle[i].frontend == frontend {
				b = idle[i]
			}
		}
		if b == nil {
			return nil
		}
		if b.idleSince > idleBefore && s.hasDescriptors(dialDescriptors+s.reservedClientSlots()) {
			return nil
		}
		// Danger: a request written to a connection that its server has closed is lost; one written behind unread bytes would be answered
		// with them.
		if b.address == endpoint.Address && s.net.NothingToRead(b.conn) {
			b.removeFromIdle()
			return b
		}
		b.close() // the server has another address now, or the connection is of no more use
	}
}

// removeFromIdle removes a connection from the pool.
func (b *backendConn) removeFromIdle() {
	idle := b.sidecar.backends.idle[b.serverID]
	if i := slices.Index(idle, b); i >= 0 {
		b.sidecar.backends.idle[b.serverID] = slices.Delete(idle, i, i+1)
	}
	b.sidecar.timers.stop(b.idleTimer)
}

// makeIdle adds a connection to the pool. Danger: a request that is written after its server has closed is lost, and one that must not run
// twice with it. Connections are closed well before the server's idle time-out.
func (b *backendConn) makeIdle() { b.makeIdleFrom(b.sidecar.now()) }

// makeIdleFrom is makeIdle for a connection whose server may be at work until a time: it is used before that only if no other can be had.
func (b *backendConn) makeIdleFrom(at float64) {
	b.attempt, b.idleSince = nil, at
	b.input.ReleaseMemory()
	if b.sidecar.assignToWaiter(b) {
		return
	}
	b.sidecar.backends.idle[b.serverID] = append(b.sidecar.backends.idle[b.serverID], b)
	if limit := b.sidecar.cfg.Settings.Policy.ConnIdleTimeoutSeconds; limit > 0 {
		b.idleTimer = b.sidecar.timers.schedule(b.sidecar.now()+min(0.8*limit, max(limit-0.5, 0.5*limit)), b.close)
	}
}

// isIdleLongerThan reports whether a connection has been idle for longer than another.
func (b *backendConn) isIdleLongerThan(other *backendConn) bool {
	return cmp.Or(cmp.Compare(b.idleSince, other.idleSince), cmp.Compare(b.serverID, other.serverID)) < 0
}

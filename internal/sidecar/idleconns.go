package sidecar

import (
	"cmp"
	"slices"

	"hazelwheel/internal/endpointset"
)

// closeIdleConns closes the idle connections to a server. Each close removes the connection from the slice.
func (s *Sidecar) closeIdleConns(serverID uint32) {
	for len(s.backends.idle[serverID]) > 0 {
		s.backends.idle[serverID][0].close()
	}
}

const (
	// reuseDelaySeconds is how long after a response the server is likely to send surplus bytes or close the connection.
	reuseDelaySeconds = 0.002
	// extendedReuseDelaySeconds replaces reuseDelaySeconds for reuseExtensionSeconds after any server has sent bytes after a response.
	extendedReuseDelaySeconds = 0.05
	reuseExtensionSeconds     = 60.0
)

// reuseDelay determines how long a connection stays idle before it is reused, unless no other connection is available.
type reuseDelay struct{ extendedUntil float64 }

// seconds returns the delay at the given time.
func (d *reuseDelay) seconds(now float64) float64 {
	if now < d.extendedUntil {
		return extendedReuseDelaySeconds
	}
	return reuseDelaySeconds
}

// extend lengthens the delay after a server has sent bytes after its response. If the server sends a response twice and the connection is
// in use again, the second copy would be taken for the response to the next request.
func (d *reuseDelay) extend(now float64) { d.extendedUntil = now + reuseExtensionSeconds }

// takeIdleConn removes the most recently used idle connection to a server from the pool and returns it, nil if there is none. That one is
// the least likely to have been closed by its server, and the others reach their idle timeout. Bytes that a server sends shortly after a
// response would be taken for the response to the next request; so a connection within the reuse delay is taken only if no new one can be
// opened.
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
		// A request written to a connection that the server has closed is lost, and unread bytes would be taken for its response.
		if b.address == endpoint.Address && s.net.NothingToRead(b.conn) {
			b.removeFromIdle()
			return b
		}
		b.close() // the server's address has changed, or the connection is closed or has unread bytes
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

// makeIdle adds a connection to the pool, or gives it to a waiting attempt. A request that is written after the server has closed the
// connection is lost, and can't be retried if it must not run twice. So connections are closed well before the server's idle timeout.
func (b *backendConn) makeIdle() { b.makeIdleFrom(b.sidecar.now()) }

// makeIdleFrom is makeIdle for a connection whose server may be busy until the given time. Before that it is reused only if no other
// connection is available.
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

// isIdleLongerThan reports whether a connection has been idle for longer than another; ties go to the lower server ID.
func (b *backendConn) isIdleLongerThan(other *backendConn) bool {
	return cmp.Or(cmp.Compare(b.idleSince, other.idleSince), cmp.Compare(b.serverID, other.serverID)) < 0
}

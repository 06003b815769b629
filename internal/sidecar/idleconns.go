package sidecar

import (
	"cmp"
	"slices"

	"hazelwheel/internal/endpointset"
)

// closeIdle closes them, on whoever's word. Danger: each close takes its link off the list.
func (s *Sidecar) closeIdleConns(serverID uint32) {
	for len(s.backends.idle[serverID]) > 0 {
		s.backends.idle[serverID][0].close()
	}
}

const (
	// settleS is how long after an answer more of it, or the link's end, may well be on the way.
	reuseDelaySeconds = 0.002
	// straySettleS is that where servers have been seen to send more behind their answers, and strayMemoryS for how long it is
	// remembered.
	extendedReuseDelaySeconds = 0.05
	reuseExtensionSeconds     = 60.0
)

// settling is how long a connection rests before it is used again while others can be had.
type reuseDelay struct{ extendedUntil float64 }

// at returns the time that holds at present.
func (s *reuseDelay) seconds(now float64) float64 {
	if now < s.extendedUntil {
		return extendedReuseDelaySeconds
	}
	return reuseDelaySeconds
}

// noteStray notes that a server has sent bytes behind its answer. Danger: a second copy of an answer that comes on a connection which
// is in use again would be taken for the answer to its next request.
func (s *reuseDelay) extend(now float64) { s.extendedUntil = now + reuseExtensionSeconds }

// idleConn takes the link to a server that was used last, nil if there is none. The newest is the least
// likely to have been closed by the other side for its rest, and the others can grow old and be retired. Danger: what
// a server sends behind its answer a moment later would answer the next request; one whose last answer has only just
// come is taken only where no new link can be had.
func (s *Sidecar) takeIdleConn(endpoint *endpointset.Host, front Frontend) *backendConn {
	for {
		idle := s.backends.idle[endpoint.ID]
		var b *backendConn
		idleBefore := s.now() - s.backends.reuseDelay.seconds(s.now())
		for i := len(idle) - 1; i >= 0 && (b == nil || b.idleSince > idleBefore); i-- {
			if idle[i].frontend == front {
				b = idle[i]
			}
		}
		if b == nil {
			return nil
		}
		if b.idleSince > idleBefore && s.hasDescriptors(dialDescriptors+s.reservedClientSlots()) {
			return nil
		}
		// Danger: a request written to a link that its server has closed is lost; one written behind unread bytes
		// would be answered with them.
		if b.address == endpoint.Address && s.net.NothingToRead(b.conn) {
			b.removeFromIdle()
			return b
		}
		b.close() // the server has moved, or the link is of no more use
	}
}

// unidle takes a link from the idle ones.
func (b *backendConn) removeFromIdle() {
	idle := b.sidecar.backends.idle[b.serverID]
	if i := slices.Index(idle, b); i >= 0 {
		b.sidecar.backends.idle[b.serverID] = slices.Delete(idle, i, i+1)
	}
	b.sidecar.timers.stop(b.idleTimer)
}

// rest puts a link among the idle ones. Danger: a request that is written to a link after the server's side
// has closed it is lost, and one that must not run twice with it. Links are retired well before that.
func (b *backendConn) makeIdle() { b.makeIdleFrom(b.sidecar.now()) }

// restFrom is rest for a link that its server may be at work on until a time: it is used before that only where no other can
// be had.
func (b *backendConn) makeIdleFrom(at float64) {
	b.attempt, b.idleSince = nil, at
	b.input.Rest()
	if b.sidecar.assignToWaiter(b) {
		return
	}
	b.sidecar.backends.idle[b.serverID] = append(b.sidecar.backends.idle[b.serverID], b)
	if limit := b.sidecar.cfg.Settings.Policy.ConnIdleTimeoutSeconds; limit > 0 {
		b.idleTimer = b.sidecar.timers.schedule(b.sidecar.now()+min(0.8*limit, max(limit-0.5, 0.5*limit)), b.close)
	}
}

// older tells whether a link has rested longer than another.
func (b *backendConn) isIdleLongerThan(other *backendConn) bool {
	return cmp.Or(cmp.Compare(b.idleSince, other.idleSince), cmp.Compare(b.serverID, other.serverID)) < 0
}

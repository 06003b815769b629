package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/featureconfig"
)

// clientPool holds the client connections. Package admission decides which of them may stay.
type clientPool struct {
	conns            []*ClientConn // each holds its index here
	admission        *admission.ConnTable
	config           featureconfig.Admission
	isCheckingUnread bool // the timer of checkUnreadResponses is set
}

// add adds a connection.
func (p *clientPool) add(c *ClientConn) {
	c.index = len(p.conns)
	p.conns = append(p.conns, c)
}

// remove removes a connection. The last one takes its index.
func (p *clientPool) remove(c *ClientConn) {
	last := p.conns[len(p.conns)-1]
	p.conns[c.index], last.index = last, c.index
	p.conns[len(p.conns)-1] = nil
	p.conns = p.conns[:len(p.conns)-1]
	p.admission.Remove(c.slot)
}

const (
	// firstByteTimeoutSeconds after it was opened a connection without a byte is closed.
	firstByteTimeoutSeconds = 2.2
	// crowdedIdleTimeoutSeconds is how long a connection may be idle while there are too many.
	crowdedIdleTimeoutSeconds = 2.0
	// sweepIntervalSeconds is the time between two checks for such connections.
	sweepIntervalSeconds = 0.2
	// unreadTimeoutSeconds without the client reading a byte of a response close its connection, and so do maxUnreadSeconds in all.
	unreadTimeoutSeconds = 2.0
	maxUnreadSeconds     = 10.0
	// maxPipelinedBytes of further requests are buffered while one is open; the rest is left in the socket.
	maxPipelinedBytes = 4 << 10
	// unreadCheckIntervalSeconds is the time between two checks whether responses were read: the event loop does not report it.
	unreadCheckIntervalSeconds = 0.01
	// reservedClientDivisor sets the part of the client connections that is reserved for known clients if the operators set no number.
	reservedClientDivisor = 8
	// maxVictimChecks bounds the candidates for eviction whose sockets are checked for unread data.
	maxVictimChecks = 4
)

// closeStale closes a connection that is of no more use, unless its socket holds an unread request.
func (c *ClientConn) closeStale() {
	if c.mayHaveUnreadRequest() {
		c.sidecar.clients.admission.Touch(c.sidecar.now(), c.slot)
		return
	}
	if state, _ := c.slot.State(); state == admission.StateNew {
		c.sidecar.clients.admission.RecordWasted(c.slot)
	}
	c.sidecar.counters.IdleConnsClosed++
	c.sidecar.closeConn(c.conn)
}

// closeStaleClients closes connections that have never sent a byte and, while there are many, those that are idle.
func (s *Sidecar) closeStaleClients() {
	now := s.now()
	old := func(state admission.State, since float64) {
		for slot := s.clients.admission.Oldest(state); slot != nil; slot = s.clients.admission.Oldest(state) {
			if _, at := slot.State(); at >= since {
				return
			}
			slot.Owner.(*ClientConn).closeStale()
		}
	}
	if old(admission.StateNew, now-firstByteTimeoutSeconds); s.hasManyClients() {
		old(admission.StateIdle, now-crowdedIdleTimeoutSeconds)
	}
	s.timers.schedule(now+sweepIntervalSeconds, s.closeStaleClients)
}

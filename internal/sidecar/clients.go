package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/featureconfig"
)

// clientPool holds the client connections. Package admission decides which of them are kept.
type clientPool struct {
	conns            []*ClientConn // each stores its index in this slice
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
	// firstByteTimeoutSeconds is how long a new connection may stay open without sending a byte.
	firstByteTimeoutSeconds = 2.2
	// crowdedIdleTimeoutSeconds is how long a connection may be idle while hasManyClients holds.
	crowdedIdleTimeoutSeconds = 2.0
	// sweepIntervalSeconds is the interval at which connections are checked for these timeouts.
	sweepIntervalSeconds = 0.2
	// unreadTimeoutSeconds is how long a client may read no byte of a response, and maxUnreadSeconds how long it may take to read all of
	// it, before its connection is closed.
	unreadTimeoutSeconds = 2.0
	maxUnreadSeconds     = 10.0
	// maxPipelinedBytes is how much of further requests is buffered while one is open; beyond that, reading is paused.
	maxPipelinedBytes = 4 << 10
	// unreadCheckIntervalSeconds is the interval at which unread responses are polled, since the event loop does not report when the client
	// has read them.
	unreadCheckIntervalSeconds = 0.01
	// reservedClientDivisor: one in so many client connections is reserved for known clients if the configuration sets no number.
	reservedClientDivisor = 8
	// maxVictimChecks bounds how many eviction candidates are skipped since their sockets hold unread data.
	maxVictimChecks = 4
)

// closeStale closes a connection that has timed out, unless its socket holds unread data.
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
	closeOlderThan := func(state admission.State, since float64) {
		for slot := s.clients.admission.Oldest(state); slot != nil; slot = s.clients.admission.Oldest(state) {
			if _, at := slot.State(); at >= since {
				return
			}
			slot.Owner.(*ClientConn).closeStale()
		}
	}
	if closeOlderThan(admission.StateNew, now-firstByteTimeoutSeconds); s.hasManyClients() {
		closeOlderThan(admission.StateIdle, now-crowdedIdleTimeoutSeconds)
	}
	s.timers.schedule(now+sweepIntervalSeconds, s.closeStaleClients)
}

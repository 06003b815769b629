package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/featureconfig"
)

// clientPool holds the client connections, and decides together with package admission which of them may stay.
type clientPool struct {
	conns            []*ClientConn // each knows its index
	admission        *admission.ConnTable
	config           featureconfig.Admission
	isCheckingUnread bool // a timer of checkUnreadResponses is set
}

// add keeps a connection.
func (p *clientPool) add(c *ClientConn) {
	c.index = len(p.conns)
	p.conns = append(p.conns, c)
}

// remove drops a connection; the last one takes its index.
func (p *clientPool) remove(c *ClientConn) {
	last := p.conns[len(p.conns)-1]
	p.conns[c.index], last.index = last, c.index
	p.conns[len(p.conns)-1] = nil
	p.conns = p.conns[:len(p.conns)-1]
	p.admission.Remove(c.slot)
}

const (
	// silentS after it was opened a link that has said nothing is closed.
	firstByteTimeoutSeconds = 2.2
	// restS is how long links may rest while there are too many.
	crowdedIdleTimeoutSeconds = 2.0
	// sweepEveryS is the time between two looks for such links.
	sweepIntervalSeconds = 0.2
	// unreadS without the client taking a byte of an answer ends its link, and so does longestReadS in all.
	unreadTimeoutSeconds = 2.0
	maxUnreadSeconds     = 10.0
	// aheadBytes of further requests may come while one is out; what is beyond waits in the socket.
	maxPipelinedBytes = 4 << 10
	// flushEveryS is the time between two looks whether answers have been taken: the loop does not tell.
	unreadCheckIntervalSeconds = 0.01
	// reservePart is the part of the client connections that is kept for known clients where the operators set no number.
	reservedClientDivisor = 8
	// lookedAt bounds the links whose sockets are looked into before one goes.
	maxVictimChecks = 4
)

// retire closes a link that is of no more use, unless a request waits in its socket.
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

// sweep closes links that have never said anything, and where links are many also those that rest.
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

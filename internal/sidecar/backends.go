package sidecar

import "slices"

// backendPool holds the backend connections that carry no attempt, and the attempts that wait for one.
type backendPool struct {
	idle       map[uint32][]*backendConn // by server ID, in the order in which they became idle
	reuseDelay reuseDelay
	waiting    []*attempt // attempts waiting for a connection or a descriptor, in order
}

// removeWaiting removes an attempt from the waiting ones, and reports whether it was among them.
func (p *backendPool) removeWaiting(a *attempt) bool {
	i := slices.Index(p.waiting, a)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return i >= 0
}

// longestIdle returns the connection that has been idle the longest, nil if there is none.
func (p *backendPool) longestIdle() (oldest *backendConn) {
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].isIdleLongerThan(oldest)) {
			oldest = conns[0]
		}
	}
	return oldest
}

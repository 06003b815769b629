package sidecar

import "slices"

// backendPool holds the backend connections that carry no attempt, and the attempts that wait for one.
type backendPool struct {
	idle       map[uint32][]*backendConn // by server; the one that became idle last is the last
	reuseDelay reuseDelay
	waiting    []*attempt // for a connection or a descriptor, in the order in which they came
}

// removeWaiting removes an attempt from those that wait, and reports whether it was one.
func (p *backendPool) removeWaiting(a *attempt) bool {
	i := slices.Index(p.waiting, a)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return i >= 0
}

// longestIdle returns the connection that has been idle for longest, nil if there is none.
func (p *backendPool) longestIdle() (oldest *backendConn) {
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].isIdleLongerThan(oldest)) {
			oldest = conns[0]
		}
	}
	return oldest
}

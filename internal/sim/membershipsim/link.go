package membershipsim

import (
	"hazelwheel/internal/decide/swim"
)

// end is one end of a link.
type linkEnd struct {
	node          *Node
	process       int
	number        int
	other         *linkEnd
	dialedAddress string // that was dialed
	isUp          bool   // LinkUp was called
	isClosed      bool
	lastArrival   float64 // what is sent later must not arrive earlier
	hasLost       bool
	isReported    bool // the process has been told
}

// deliver has something done at the other end, behind all that went there before.
func (e *linkEnd) deliver(do func()) {
	c, o := e.node.fleet, e.other
	c.At(e.arrival(), func() {
		if !o.isClosed {
			o.node.run(o.process, func() {
				if !o.isClosed {
					do()
				}
			})
		}
	})
}

// arrival draws when the other end gets what is sent now.
func (e *linkEnd) arrival() float64 {
	e.lastArrival = max(e.node.fleet.Now()+e.node.fleet.latency(), e.lastArrival)
	return e.lastArrival
}

// Take takes a message that comes over the link, if that still is.
func (e *linkEnd) Take(m any) {
	if !e.isClosed {
		e.receive(m.(*swim.Message))
	}
}

// take has a process hear a message. One that stood still is woken by it also where the link has ended meanwhile.
func (e *linkEnd) receive(m *swim.Message) {
	n := e.node
	switch {
	case n.process != e.process || !n.IsRunning:
	case n.IsFrozen:
		n.deferred = append(n.deferred, func() { e.receive(m) })
	default:
		if n.Wakeups++; !e.isClosed {
			n.View.HandleMessage(n.fleet.Now(), e.number, m)
		}
	}
}

// close ends a link; the other end learns of it.
func (e *linkEnd) close() {
	if e.isClosed {
		return
	}
	e.deliver(func() { e.other.node.linkEnded(e.other) })
	e.isClosed = true
	delete(e.node.ends, e.number)
}

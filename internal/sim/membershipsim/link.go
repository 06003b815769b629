package membershipsim

import "hazelwheel/internal/decide/swim"

// linkEnd is one end of a link.
type linkEnd struct {
	node          *Node
	process       int
	number        int // of the link at this node
	other         *linkEnd
	dialedAddress string // empty at the end that was dialed
	isUp          bool   // LinkUp was called
	isClosed      bool
	lastArrival   float64 // at the other end; what is sent later must not arrive earlier
	hasLost       bool    // a message that was sent from here
	isReported    bool    // the View knows that it has ended
}

// deliver runs an event at the other end, after all that was sent there before.
func (e *linkEnd) deliver(event func()) {
	other := e.other
	e.node.fleet.At(e.arrival(), func() {
		if !other.isClosed {
			other.node.run(other.process, func() {
				if !other.isClosed {
					event()
				}
			})
		}
	})
}

// arrival draws when something that is sent now arrives at the other end.
func (e *linkEnd) arrival() float64 {
	e.lastArrival = max(e.node.fleet.Now()+e.node.fleet.latency(), e.lastArrival)
	return e.lastArrival
}

// Receive takes a message that arrives over the link.
func (e *linkEnd) Receive(m any) {
	if !e.isClosed {
		e.receive(m.(*swim.Message))
	}
}

// receive hands a message to the View. A process that was frozen is woken up by it even if the link has ended meanwhile.
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

// close closes this end; the other one learns of it later.
func (e *linkEnd) close() {
	if e.isClosed {
		return
	}
	e.deliver(func() { e.other.node.linkEnded(e.other) })
	e.isClosed = true
	delete(e.node.ends, e.number)
}

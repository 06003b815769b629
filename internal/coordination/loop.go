package coordination

import (
	"net"
	"runtime/debug"

	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers"
)

var _ netio.Handler = (*Node)(nil)

// run wraps each call from the event loop. It recovers panics, runs the functions that were postponed during the call, and reschedules
// the tick, since the call may have changed what is due next.
func (n *Node) run(call func()) {
	n.depth++
	n.runRecovered(call)
	for n.depth == 1 && len(n.afterCall) > 0 {
		next := n.afterCall[0]
		n.afterCall = n.afterCall[1:]
		n.runRecovered(next)
	}
	if n.depth == 1 && n.roles != nil && n.view != nil {
		n.runRecovered(n.scheduleTick)
	}
	n.depth--
}

// runRecovered runs a call and reports whether it panicked. The panic is logged and counted.
func (n *Node) runRecovered(call func()) (failed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			failed = true
			n.panics++
			n.log.Error("panic", "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	call()
	return false
}

// runAfterCall postpones a function to the end of the present call, since actions of a protocol must not call back into it.
func (n *Node) runAfterCall(f func()) { n.afterCall = append(n.afterCall, f) }

// OwnsConn reports whether a connection belongs to this Node rather than to the sidecar on the same loop: a link that the Node has
// dialed or accepted, or a new connection to the port of its listener.
func (n *Node) OwnsConn(c netio.Conn) bool {
	switch c.Context().(type) {
	case *peers.Link:
		return true
	case nil:
		tcp, ok := c.LocalAddr().(*net.TCPAddr)
		return ok && tcp.Port == n.port
	}
	return false
}

// Open implements netio.Handler.
func (n *Node) Open(c netio.Conn) (keep bool) {
	n.run(func() { keep = n.view != nil && !n.isReplaced && n.peers.Open(c) })
	return keep
}

// Traffic implements netio.Handler. A connection whose data causes a panic is closed.
func (n *Node) Traffic(c netio.Conn, data []byte) {
	n.run(func() {
		if n.runRecovered(func() { n.peers.Traffic(c, data) }) {
			n.loop.Close(c)
		}
	})
}

// Closed implements netio.Handler.
func (n *Node) Closed(c netio.Conn, err error) { n.run(func() { n.peers.Closed(c, err) }) }

// Alarm implements netio.Handler.
func (n *Node) Alarm() {
	n.run(func() {
		if n.view != nil {
			n.tick()
		}
	})
}

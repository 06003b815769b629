package coordination

import (
	"net"
	"runtime/debug"

	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers"
)

// run wraps each call on the loop: a panic stops here, and what follows from the call is done before it ends.
func (f *Node) run(do func()) {
	f.depth++
	f.runRecovered(do)
	for f.depth == 1 && len(f.posted) > 0 {
		next := f.posted[0]
		f.posted = f.posted[1:]
		f.runRecovered(next)
	}
	if f.depth == 1 && f.roles != nil && f.view != nil { // what has come may bring what is due forward
		f.runRecovered(f.scheduleTick)
	}
	f.depth--
}

func (f *Node) runRecovered(do func()) (failed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			failed = true
			f.panics++
			f.log.Error("panic", "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	do()
	return false
}

// runAfterCall has something done at the end of the present call. Danger: the decisions' actions must not call back into them.
func (f *Node) runAfterCall(do func()) { f.posted = append(f.posted, do) }

// OwnsConn tells whether a connection is a peer's.
func (f *Node) OwnsConn(c netio.Conn) bool {
	switch c.Context().(type) {
	case *peers.Link:
		return true
	case nil:
		tcp, ok := c.LocalAddr().(*net.TCPAddr)
		return ok && tcp.Port == f.port
	}
	return false
}

// Open takes a connection.
func (f *Node) Open(c netio.Conn) (keep bool) {
	f.run(func() { keep = f.view != nil && !f.silenced && f.peers.Open(c) })
	return keep
}

// Traffic takes what has come over one.
func (f *Node) Traffic(c netio.Conn, data []byte) {
	f.run(func() {
		if f.runRecovered(func() { f.peers.Traffic(c, data) }) {
			f.net.Close(c)
		}
	})
}

// Closed takes its end.
func (f *Node) Closed(c netio.Conn, err error) { f.run(func() { f.peers.Closed(c, err) }) }

// Alarm comes when something is due.
func (f *Node) Alarm() {
	f.run(func() {
		if f.view != nil {
			f.tick()
		}
	})
}

var _ netio.Host = (*Node)(nil)

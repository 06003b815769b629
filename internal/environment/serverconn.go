package environment

import (
	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// earlyClose is a connection to be closed if it has stayed idle since idleAt.
type earlyClose struct {
	conn   *serverConn
	idleAt float64
}

// serverConn is a connection from a sidecar.
type serverConn struct {
	conn        netio.Conn
	number      uint64
	sidecar     int32
	buf         http1.Buffer
	parser      http1.RequestParser
	request     receivedRequest // the last one that was read
	firstByteAt float64         // when the first byte of the request being read was sent; 0: there is none
	job         *serverJob      // in flight; nil: none
	isUsed      bool
	isUnusable  bool // a malformed answer was written on it
	isOverLimit bool // opened beyond the connections that the server takes
	isIdle      bool
	idleAt      float64
	prev, next  *serverConn // in the list of idle connections
}

// Open accepts a connection. Far beyond the maximum it is refused, which returns false.
func (p *serverProcess) Open(c netio.Conn) bool {
	p.lastConnNumber++
	conn := &serverConn{conn: c, number: uint64(p.Spec.Number+1)<<32 | p.lastConnNumber, sidecar: p.sidecars.number(c.RemoteAddr()),
		parser: http1.NewRequestParser(messageLimits)}
	c.SetContext(conn)
	p.openConns++
	p.engine.SetConnections(p.openConns)
	e := p.event(checker.ConnectionOpened, conn)
	e.Work = p.Spec.HandshakeSeconds / p.Spec.Speed
	p.observer.Observe(e)
	p.countWork(e.Work)
	conn.isOverLimit = p.openConns > p.Spec.MaxConnections
	p.markIdle(conn)
	p.updateAlarm()
	return p.openConns <= p.Spec.MaxConnections+p.Spec.MaxConnections/4
}

// Closed cancels the job of a closed connection and reports its end.
func (p *serverProcess) Closed(c netio.Conn, err error) {
	conn, ok := c.Context().(*serverConn)
	if !ok {
		return
	}
	conn.conn = nil
	p.markBusy(conn)
	p.openConns--
	p.engine.SetConnections(p.openConns)
	if conn.job != nil {
		conn.job.conn = nil
		p.engine.Cancel(&conn.job.Job)
		conn.job = nil
	}
	if p.isStopped {
		return // the machine is gone: nothing can be observed there
	}
	e := p.event(checker.ConnectionClosed, conn)
	if e.ByServer = err == nil; !e.ByServer {
		e.Sent = endedAt(c, e.At)
	}
	p.observer.Observe(e)
}

// markIdle appends a connection to the list of idle ones, and draws whether it is closed early.
func (p *serverProcess) markIdle(conn *serverConn) {
	conn.isIdle, conn.idleAt = true, p.net.Now()
	conn.prev, conn.next = p.lastIdle, nil
	if p.lastIdle != nil {
		p.lastIdle.next = conn
	} else {
		p.firstIdle = conn
	}
	p.lastIdle = conn
	if m := &p.Misbehavior; m.EarlyClose > 0 && conn.isUsed && p.rng.Float64() < m.EarlyClose {
		p.earlyCloses.add(conn.idleAt+maxEarlyCloseSeconds*p.rng.Float64(), earlyClose{conn, conn.idleAt})
	}
}

// maxEarlyCloseSeconds is the longest idle time of a connection that is closed early.
const maxEarlyCloseSeconds = 1.0

// markBusy removes a connection from the list of idle ones.
func (p *serverProcess) markBusy(conn *serverConn) {
	if !conn.isIdle {
		return
	}
	conn.isIdle = false
	if conn.prev != nil {
		conn.prev.next = conn.next
	} else {
		p.firstIdle = conn.next
	}
	if conn.next != nil {
		conn.next.prev = conn.prev
	} else {
		p.lastIdle = conn.prev
	}
	conn.prev, conn.next = nil, nil
}

// Traffic reads requests. An idle connection may be closed early on its next request.
func (p *serverProcess) Traffic(c netio.Conn, data []byte) {
	conn, ok := c.Context().(*serverConn)
	if !ok || conn.isUnusable {
		return
	}
	if m := &p.Misbehavior; m.EarlyClose > 0 && conn.isIdle && conn.isUsed && p.rng.Float64() < m.EarlyClose {
		p.net.Close(c) // the request is lost unread
		p.updateAlarm()
		return
	}
	if conn.firstByteAt == 0 {
		conn.firstByteAt = sentAt(c, p.net.Now())
	}
	conn.buf.Write(data)
	p.readRequests(conn)
	p.updateAlarm()
}

// readRequests handles the complete requests of a connection, one after the other.
func (p *serverProcess) readRequests(conn *serverConn) {
	for conn.conn != nil && conn.job == nil && conn.buf.Len() > 0 && !conn.isUnusable {
		isComplete, err := conn.nextRequest()
		if err != nil {
			p.net.Close(conn.conn) // an unreadable request gets no answer
			return
		}
		if !isComplete {
			return
		}
		p.markBusy(conn)
		p.handleRequest(conn)
		conn.parser.Release()
		if conn.firstByteAt = 0; conn.conn != nil && conn.buf.Len() > 0 {
			conn.firstByteAt = sentAt(conn.conn, p.net.Now())
		}
		if conn.conn != nil && conn.job == nil && !conn.isUnusable {
			p.markIdle(conn)
		}
	}
}

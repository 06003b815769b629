package environment

import (
	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// earlyClose is a connection that is to be closed if it is still at rest as it was.
type earlyClose struct {
	conn   *serverConn
	idleAt float64
}

// boxLink is a connection from a sidecar.
type serverConn struct {
	conn        netio.Conn
	number      uint64
	sidecar     int32
	buf         http1.Buffer
	parser      http1.RequestParser
	request     receivedRequest // the request that was read last
	firstByteAt float64         // when the first byte of what is being read was sent; 0: there is none
	job         *serverJob      // that is out
	isUsed      bool
	isUnusable  bool // of no further use: a spoilt answer has gone out on it
	isOverLimit bool // more connections than the box takes
	isIdle      bool
	idleAt      float64
	prev, next  *serverConn // among the idle ones
}

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
		return // the machine is gone: nobody sees this
	}
	e := p.event(checker.ConnectionClosed, conn)
	if e.ByServer = err == nil; !e.ByServer {
		e.Sent = endedAt(c, e.At)
	}
	p.observer.Observe(e)
}

// rest notes that a link has nothing to do, unrest that it does.
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

// mostEarlyS is how long a box that closes connections early lets them rest at most.
const maxEarlyCloseSeconds = 1.0

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

func (p *serverProcess) Traffic(c netio.Conn, data []byte) {
	conn, ok := c.Context().(*serverConn)
	if !ok || conn.isUnusable {
		return
	}
	if m := &p.Misbehavior; m.EarlyClose > 0 && conn.isIdle && conn.isUsed && p.rng.Float64() < m.EarlyClose {
		p.net.Close(c) // as the request comes: it is not read
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

// read takes up the next request of a link that has come whole.
func (p *serverProcess) readRequests(conn *serverConn) {
	for conn.conn != nil && conn.job == nil && conn.buf.Len() > 0 && !conn.isUnusable {
		isComplete, err := conn.nextRequest()
		if err != nil {
			p.net.Close(conn.conn) // what it cannot read is nothing to answer
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

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

func (l *serverProcess) Open(c netio.Conn) bool {
	l.lastConnNumber++
	k := &serverConn{conn: c, number: uint64(l.Spec.Number+1)<<32 | l.lastConnNumber, sidecar: l.sidecars.number(c.RemoteAddr()),
		parser: http1.NewRequestParser(messageLimits)}
	c.SetContext(k)
	l.openConns++
	l.engine.SetConnections(l.openConns)
	e := l.event(checker.ConnectionOpened, k)
	e.Work = l.Spec.HandshakeSeconds / l.Spec.Speed
	l.observer.Observe(e)
	l.countWork(e.Work)
	k.isOverLimit = l.openConns > l.Spec.MaxConnections
	l.markIdle(k)
	l.updateAlarm()
	return l.openConns <= l.Spec.MaxConnections+l.Spec.MaxConnections/4
}

func (l *serverProcess) Closed(c netio.Conn, err error) {
	k, ok := c.Context().(*serverConn)
	if !ok {
		return
	}
	k.conn = nil
	l.markBusy(k)
	l.openConns--
	l.engine.SetConnections(l.openConns)
	if k.job != nil {
		k.job.conn = nil
		l.engine.Cancel(&k.job.Job)
		k.job = nil
	}
	if l.isStopped {
		return // the machine is gone: nobody sees this
	}
	e := l.event(checker.ConnectionClosed, k)
	if e.ByServer = err == nil; !e.ByServer {
		e.Sent = endedAt(c, e.At)
	}
	l.observer.Observe(e)
}

// rest notes that a link has nothing to do, unrest that it does.
func (l *serverProcess) markIdle(k *serverConn) {
	k.isIdle, k.idleAt = true, l.net.Now()
	k.prev, k.next = l.lastIdle, nil
	if l.lastIdle != nil {
		l.lastIdle.next = k
	} else {
		l.firstIdle = k
	}
	l.lastIdle = k
	if m := &l.Misbehavior; m.EarlyClose > 0 && k.isUsed && l.rng.Float64() < m.EarlyClose {
		l.earlyCloses.add(k.idleAt+maxEarlyCloseSeconds*l.rng.Float64(), earlyClose{k, k.idleAt})
	}
}

// mostEarlyS is how long a box that closes connections early lets them rest at most.
const maxEarlyCloseSeconds = 1.0

func (l *serverProcess) markBusy(k *serverConn) {
	if !k.isIdle {
		return
	}
	k.isIdle = false
	if k.prev != nil {
		k.prev.next = k.next
	} else {
		l.firstIdle = k.next
	}
	if k.next != nil {
		k.next.prev = k.prev
	} else {
		l.lastIdle = k.prev
	}
	k.prev, k.next = nil, nil
}

func (l *serverProcess) Traffic(c netio.Conn, data []byte) {
	k, ok := c.Context().(*serverConn)
	if !ok || k.isUnusable {
		return
	}
	if m := &l.Misbehavior; m.EarlyClose > 0 && k.isIdle && k.isUsed && l.rng.Float64() < m.EarlyClose {
		l.net.Close(c) // as the request comes: it is not read
		l.updateAlarm()
		return
	}
	if k.firstByteAt == 0 {
		k.firstByteAt = sentAt(c, l.net.Now())
	}
	k.buf.Write(data)
	l.readRequests(k)
	l.updateAlarm()
}

// read takes up the next request of a link that has come whole.
func (l *serverProcess) readRequests(k *serverConn) {
	for k.conn != nil && k.job == nil && k.buf.Len() > 0 && !k.isUnusable {
		whole, err := k.nextRequest()
		if err != nil {
			l.net.Close(k.conn) // what it cannot read is nothing to answer
			return
		}
		if !whole {
			return
		}
		l.markBusy(k)
		l.handleRequest(k)
		k.parser.Release()
		if k.firstByteAt = 0; k.conn != nil && k.buf.Len() > 0 {
			k.firstByteAt = sentAt(k.conn, l.net.Now())
		}
		if k.conn != nil && k.job == nil && !k.isUnusable {
			l.markIdle(k)
		}
	}
}

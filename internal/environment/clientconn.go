package environment

import (
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// clientConn is a connection to the sidecar, open or being dialed.
type clientConn struct {
	app              *Application
	conn             netio.Conn
	number           uint64
	buf              http1.Buffer
	response         responseReader
	operation        *operation // in flight, or waiting for the connection
	uses             int
	isReadinessProbe bool // it carries a readiness probe
	isSent           bool
	isHalfClosed     bool // the client has closed its direction of it
}

// send writes a request to an idle connection, dials one for it, or lets it wait.
func (a *Application) send(op *operation, now float64) {
	if n := len(a.idleConns); n > 0 && !op.isResent {
		conn := a.idleConns[n-1]
		a.idleConns = a.idleConns[:n-1]
		a.write(conn, op)
		return
	}
	if a.openConns >= a.spec.MaxConnections || now >= a.drainAt {
		a.waitingOperations = append(a.waitingOperations, op)
		return
	}
	a.dial(op)
}

// dial dials a connection for an operation's request.
func (a *Application) dial(op *operation) {
	a.lastConnNumber++
	conn := &clientConn{app: a, number: uint64(a.number+1)<<48 | a.lastConnNumber, operation: op, response: newResponseReader(a.day.Protocol)}
	op.conn = conn
	a.openConns++
	a.net.Dial(a.address(), op.requestDeadline, conn, func(err error) {
		if err == nil {
			return
		}
		a.openConns--
		op := conn.operation
		if conn.operation = nil; op != nil && !op.isFinished && op.conn == conn {
			op.conn = nil
			a.observe(checker.ConnectFailed, op, nil)
			a.retryFailed(op, a.net.Now(), true)
		}
		a.sendWaiting()
		a.updateAlarm()
	})
}

// address returns where the sidecar accepts requests.
func (a *Application) address() string {
	at := a.day.Sidecars[a.number].Address
	if a.day.Protocol.IsThrift() {
		return ThriftAddress(at)
	}
	return at
}

// sendWaiting sends waiting operations as far as connections are free.
func (a *Application) sendWaiting() {
	// Danger: what can't be sent yet goes back to the end of the queue, so each is looked at once.
	for n := len(a.waitingOperations); n > 0 && (len(a.idleConns) > 0 || a.openConns < a.spec.MaxConnections && a.net.Now() < a.drainAt); n-- {
		op := a.waitingOperations[0]
		a.waitingOperations = a.waitingOperations[1:]
		if !op.isFinished && op.request != 0 && op.conn == nil && op.requestDeadline > a.net.Now() {
			a.send(op, a.net.Now())
		}
	}
}

// Open uses an established connection for what it was dialed for, or makes it idle.
func (a *Application) Open(c netio.Conn) bool {
	conn := c.Context().(*clientConn)
	conn.conn = c
	switch {
	case conn.isReadinessProbe:
		conn.uses++
		c.Write(http1.AppendRequest(a.buffer[:0], "GET", "/ready", http1.Header{{Name: "Host", Value: "service.internal"}}, nil))
	case conn.operation != nil && conn.operation.conn == conn && !conn.operation.isFinished:
		a.write(conn, conn.operation)
	default:
		conn.operation = nil
		a.idleConns = append(a.idleConns, conn)
		a.sendWaiting()
	}
	return true
}

// write writes a request to a connection.
func (a *Application) write(conn *clientConn, op *operation) {
	conn.operation, op.conn, op.sentAt, a.lastSent = op, conn, a.net.Now(), op
	// Danger: a parser that has read an answer would parse the next one as the same answer's body.
	conn.response = newResponseReader(a.day.Protocol)
	conn.uses++
	if a.day.Protocol.IsThrift() {
		a.buffer = a.appendCall(a.buffer[:0], op)
	} else {
		a.buffer = a.appendRequest(a.buffer[:0], op)
	}
	netConn := conn.conn
	conn.isSent = false
	if _, err := netConn.Write(a.buffer); err == nil && conn.conn == netConn && conn.operation == op {
		a.observeSent(conn)
	}
}

// appendRequest appends an operation's request in its HTTP form.
func (a *Application) appendRequest(out []byte, op *operation) []byte {
	class := &a.day.Classes[op.class]
	method := "POST"
	if class.Effect == checker.Safe {
		method = "GET"
	}
	out = append(append(out, method...), " /"...)
	out = append(append(out, class.Name...), "/item HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: "...)
	out = append(appendID(out, op.request), "\r\nRequest-Timeout: "...)
	if wait := op.requestDeadline - a.net.Now(); op.request>>1&1 == 0 { // both units are in use
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e6)), 10), "u\r\n"...)
	} else {
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e3)), 10), "m\r\n"...)
	}
	if op.requests > 1 && a.spec.FlagsRetries {
		out = append(out, fieldRetry+": 1\r\n"...)
	}
	if a.batch != nil {
		out = append(out, fieldOrganisation+": "+a.batch.Organisation+"\r\n"...)
	}
	if op.idempotencyKey != 0 {
		out = append(appendID(append(out, "Idempotency-Key: "...), op.idempotencyKey), "\r\n"...)
	}
	if method == "POST" {
		out = strconv.AppendInt(append(out, "Content-Length: "...), int64(op.bodySize), 10)
		out = append(out, "\r\n"...)
	}
	return append(append(out, "\r\n"...), a.body[:op.bodySize]...)
}

// observeSent reports once that the sidecar's machine has accepted a complete request.
func (a *Application) observeSent(conn *clientConn) {
	if !conn.isSent && conn.conn.OutboundBuffered() == 0 {
		conn.isSent = true
		a.observe(checker.RequestSent, conn.operation, conn)
	}
}

// Traffic reads an answer.
func (a *Application) Traffic(c netio.Conn, data []byte) {
	conn := c.Context().(*clientConn)
	if conn.operation == nil && !conn.isReadinessProbe {
		a.observe(checker.UnsolicitedBytes, nil, conn)
		a.net.Close(c)
		return
	}
	conn.buf.Write(data)
	done, err := conn.response.Next(&conn.buf)
	switch {
	case conn.isReadinessProbe:
		if err != nil || done {
			a.readyAnswered(conn, err == nil && conn.response.Status == 200)
		}
	case err != nil:
		k := conn.operation
		a.observe(checker.ResponseTruncated, k, conn)
		conn.operation = nil
		a.net.Close(c)
		a.retryFailed(k, a.net.Now(), false)
	case done:
		a.responseReceived(conn)
	}
	a.updateAlarm()
}

// readyAnswered handles the answer to a readiness probe; the first positive one starts the arrivals.
func (a *Application) readyAnswered(conn *clientConn, ready bool) {
	a.net.Close(conn.conn)
	if !ready || a.isSidecarReady {
		return
	}
	a.isSidecarReady = true
	a.tasks.add(a.nextArrival(a.net.Now()), clientTask{kind: taskArrival})
}

// responseReceived handles a complete answer.
func (a *Application) responseReceived(conn *clientConn) {
	op, now := conn.operation, a.net.Now()
	a.observeSent(conn)
	e := a.event(checker.ResponseReceived, op, conn)
	e.Status, e.Digest = int32(conn.response.Status), checker.Digest(conn.response.Body)
	a.observer.Observe(e)
	conn.operation = nil
	status, retryAfter := conn.response.Status, 0.0
	if text := conn.response.retryAfter; text != "" {
		retryAfter, _ = strconv.ParseFloat(text, 64) // an unreadable value is ignored
	}
	switch {
	case conn.buf.Len() > 0:
		a.observe(checker.UnsolicitedBytes, nil, conn)
		a.net.Close(conn.conn)
	case !conn.response.IsPersistent() || conn.isHalfClosed:
		a.net.Close(conn.conn)
	default:
		a.idleConns = append(a.idleConns, conn)
	}
	switch status {
	case 200:
		a.finishOperation(op)
	case 429, 503:
		a.retryRejected(op, now, retryAfter)
	default:
		a.retryFailed(op, now, false)
	}
	a.sendWaiting()
}

// Closed handles the close of a connection, and that of its request if one is in flight.
func (a *Application) Closed(c netio.Conn, err error) {
	conn := c.Context().(*clientConn)
	a.openConns--
	conn.conn = nil
	for i, other := range a.idleConns {
		if other == conn {
			a.idleConns = append(a.idleConns[:i], a.idleConns[i+1:]...)
			break
		}
	}
	k := conn.operation
	if conn.operation = nil; k == nil || k.isFinished || k.conn != conn || err == nil {
		a.updateAlarm()
		return
	}
	now := a.net.Now()
	k.conn = nil
	switch {
	case conn.response.HasBegun():
		a.observe(checker.ResponseTruncated, k, conn)
		a.retryFailed(k, now, false)
	case conn.uses > 1 && !k.isResent && now < k.requestDeadline && !conn.isHalfClosed:
		a.observeDropped(c, k, conn)
		k.isResent = true // the close may have crossed the request: it is sent once more, on a new connection
		a.send(k, now)
	default:
		a.observeDropped(c, k, conn)
		a.retryFailed(k, now, !conn.isSent)
	}
	a.sendWaiting()
	a.updateAlarm()
}

// observeDropped reports a request whose connection the sidecar's side has closed.
func (a *Application) observeDropped(c netio.Conn, op *operation, conn *clientConn) {
	e := a.event(checker.ConnectionDropped, op, conn)
	e.WasRead = readByPeer(c)
	a.observer.Observe(e)
}

// pendingRequestID returns the id of a request that is in flight; false: none is known to be.
//
// Danger: a request that is still on its way to the sidecar could arrive after another client's request with its id, and
// would then be the second one. Only requests sent at least arrivalSeconds ago count.
func (a *Application) pendingRequestID() (uint64, bool) {
	const arrivalSeconds = 0.005
	op := a.lastSent
	if op == nil || op.isFinished || op.conn == nil || op.conn.operation != op || op.sentAt > a.net.Now()-arrivalSeconds {
		return 0, false
	}
	return op.request, true
}

// closeIdle closes the idle connections at the day's end.
func (a *Application) closeIdle() {
	for len(a.idleConns) > 0 {
		a.net.Close(a.idleConns[len(a.idleConns)-1].conn)
	}
}

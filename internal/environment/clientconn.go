package environment

import (
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// appLink is a connection to the sidecar, or one that is coming up.
type clientConn struct {
	app              *Application
	conn             netio.Conn
	number           uint64
	buf              http1.Buffer
	response         responseReader
	operation        *operation // that is out, or waits for the connection
	uses             int
	isReadinessProbe bool // whether the sidecar is ready
	isSent           bool
	isHalfClosed     bool // the client has ended its direction of it
}

// send writes a request to an idle connection, or opens one for it.
func (a *Application) send(k *operation, now float64) {
	if n := len(a.idleConns); n > 0 && !k.isResent {
		link := a.idleConns[n-1]
		a.idleConns = a.idleConns[:n-1]
		a.write(link, k)
		return
	}
	if a.openConns >= a.spec.MaxConnections || now >= a.drainAt {
		a.waitingOperations = append(a.waitingOperations, k)
		return
	}
	a.dial(k)
}

func (a *Application) dial(k *operation) {
	a.lastConnNumber++
	link := &clientConn{app: a, number: uint64(a.number+1)<<48 | a.lastConnNumber, operation: k, response: newResponseReader(a.day.Protocol)}
	k.conn = link
	a.openConns++
	a.net.Dial(a.address(), k.requestDeadline, link, func(err error) {
		if err == nil {
			return
		}
		a.openConns--
		k := link.operation
		if link.operation = nil; k != nil && !k.isFinished && k.conn == link {
			k.conn = nil
			a.observe(checker.ConnectFailed, k, nil)
			a.retryFailed(k, a.net.Now(), true)
		}
		a.sendWaiting()
		a.arm()
	})
}

// address returns where the sidecar takes requests.
func (a *Application) address() string {
	at := a.day.Sidecars[a.number].Address
	if a.day.Protocol.IsThrift() {
		return ThriftAddress(at)
	}
	return at
}

// serveWaiting gives room that has come free to who waits for it.
func (a *Application) sendWaiting() {
	// Danger: what can't be served yet goes back to the end of the line, so one round is enough.
	for n := len(a.waitingOperations); n > 0 && (len(a.idleConns) > 0 || a.openConns < a.spec.MaxConnections && a.net.Now() < a.drainAt); n-- {
		k := a.waitingOperations[0]
		a.waitingOperations = a.waitingOperations[1:]
		if !k.isFinished && k.request != 0 && k.conn == nil && k.requestDeadline > a.net.Now() {
			a.send(k, a.net.Now())
		}
	}
}

// Open takes a connection that has come up.
func (a *Application) Open(c netio.Conn) bool {
	link := c.Context().(*clientConn)
	link.conn = c
	switch {
	case link.isReadinessProbe:
		link.uses++
		c.Write(http1.AppendRequest(a.out[:0], "GET", "/ready", http1.Header{{Name: "Host", Value: "service.internal"}}, nil))
	case link.operation != nil && link.operation.conn == link && !link.operation.isFinished:
		a.write(link, link.operation)
	default:
		link.operation = nil
		a.idleConns = append(a.idleConns, link)
		a.sendWaiting()
	}
	return true
}

// write writes a request to a connection.
func (a *Application) write(link *clientConn, k *operation) {
	link.operation, k.conn, k.sentAt, a.lastSent = k, link, a.net.Now(), k
	// Danger: a parser that has read an answer takes the next one for the same answer's body.
	link.response = newResponseReader(a.day.Protocol)
	link.uses++
	if a.day.Protocol.IsThrift() {
		a.out = a.appendCall(a.out[:0], k)
	} else {
		a.out = a.appendRequest(a.out[:0], k)
	}
	conn := link.conn
	link.isSent = false
	if _, err := conn.Write(a.out); err == nil && link.conn == conn && link.operation == k {
		a.observeSent(link)
	}
}

// appendRequest appends a request as HTTP has it.
func (a *Application) appendRequest(out []byte, k *operation) []byte {
	c := &a.day.Classes[k.class]
	method := "POST"
	if c.Effect == checker.Safe {
		method = "GET"
	}
	out = append(append(out, method...), " /"...)
	out = append(append(out, c.Name...), "/item HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: "...)
	out = append(appendID(out, k.request), "\r\nRequest-Timeout: "...)
	if wait := k.requestDeadline - a.net.Now(); k.request>>1&1 == 0 { // both units are in use
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e6)), 10), "u\r\n"...)
	} else {
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e3)), 10), "m\r\n"...)
	}
	if k.requests > 1 && a.spec.MarksRetries {
		out = append(out, fieldRetry+": 1\r\n"...)
	}
	if a.batch != nil {
		out = append(out, fieldOrganisation+": "+a.batch.Organisation+"\r\n"...)
	}
	if k.idempotencyKey != 0 {
		out = append(appendID(append(out, "Idempotency-Key: "...), k.idempotencyKey), "\r\n"...)
	}
	if method == "POST" {
		out = strconv.AppendInt(append(out, "Content-Length: "...), int64(k.bodySize), 10)
		out = append(out, "\r\n"...)
	}
	return append(append(out, "\r\n"...), a.body[:k.bodySize]...)
}

// taken notes that the sidecar's machine has been handed a request whole.
func (a *Application) observeSent(link *clientConn) {
	if !link.isSent && link.conn.OutboundBuffered() == 0 {
		link.isSent = true
		a.observe(checker.RequestSent, link.operation, link)
	}
}

// Traffic takes bytes of an answer.
func (a *Application) Traffic(c netio.Conn, data []byte) {
	link := c.Context().(*clientConn)
	if link.operation == nil && !link.isReadinessProbe {
		a.observe(checker.UnsolicitedBytes, nil, link)
		a.net.Close(c)
		return
	}
	link.buf.Write(data)
	done, err := link.response.Next(&link.buf)
	switch {
	case link.isReadinessProbe:
		if err != nil || done {
			a.readyAnswered(link, err == nil && link.response.Status == 200)
		}
	case err != nil:
		k := link.operation
		a.observe(checker.ResponseTruncated, k, link)
		link.operation = nil
		a.net.Close(c)
		a.retryFailed(k, a.net.Now(), false)
	case done:
		a.responseReceived(link)
	}
	a.arm()
}

func (a *Application) readyAnswered(link *clientConn, ready bool) {
	a.net.Close(link.conn)
	if !ready || a.ready {
		return
	}
	a.ready = true
	a.tasks.add(a.nextArrival(a.net.Now()), clientTask{kind: taskArrival})
}

// answered takes a whole answer.
func (a *Application) responseReceived(link *clientConn) {
	k, now := link.operation, a.net.Now()
	a.observeSent(link)
	e := a.event(checker.ResponseReceived, k, link)
	e.Status, e.Digest = int32(link.response.Status), checker.Digest(link.response.Body)
	a.observer.Observe(e)
	link.operation = nil
	status, after := link.response.Status, 0.0
	if text := link.response.after; text != "" {
		after, _ = strconv.ParseFloat(text, 64) // what can't be read is no advice
	}
	switch {
	case link.buf.Len() > 0:
		a.observe(checker.UnsolicitedBytes, nil, link)
		a.net.Close(link.conn)
	case !link.response.Keep() || link.isHalfClosed:
		a.net.Close(link.conn)
	default:
		a.idleConns = append(a.idleConns, link)
	}
	switch status {
	case 200:
		a.finishOperation(k)
	case 429, 503:
		a.retryRejected(k, now, after)
	default:
		a.retryFailed(k, now, false)
	}
	a.sendWaiting()
}

// Closed takes the end of a connection.
func (a *Application) Closed(c netio.Conn, err error) {
	link := c.Context().(*clientConn)
	a.openConns--
	link.conn = nil
	for i, other := range a.idleConns {
		if other == link {
			a.idleConns = append(a.idleConns[:i], a.idleConns[i+1:]...)
			break
		}
	}
	k := link.operation
	if link.operation = nil; k == nil || k.isFinished || k.conn != link || err == nil {
		a.arm()
		return
	}
	now := a.net.Now()
	k.conn = nil
	switch {
	case link.response.Begun():
		a.observe(checker.ResponseTruncated, k, link)
		a.retryFailed(k, now, false)
	case link.uses > 1 && !k.isResent && now < k.requestDeadline && !link.isHalfClosed:
		a.observeDropped(c, k, link)
		k.isResent = true // its close may have crossed the request: once more, on a new connection
		a.send(k, now)
	default:
		a.observeDropped(c, k, link)
		a.retryFailed(k, now, !link.isSent)
	}
	a.sendWaiting()
	a.arm()
}

// dropped tells the witness of a request whose connection the sidecar's side has ended.
func (a *Application) observeDropped(c netio.Conn, k *operation, link *clientConn) {
	e := a.event(checker.ConnectionDropped, k, link)
	e.WasRead = readByPeer(c)
	a.observer.Observe(e)
}

// openID returns the id of a request that is out; false: there is none that is known of. Danger: one that is still on
// its way to the sidecar could come behind who uses its id, and would then be the second.
func (a *Application) pendingRequestID() (uint64, bool) {
	const settledS = 0.005
	k := a.lastSent
	if k == nil || k.isFinished || k.conn == nil || k.conn.operation != k || k.sentAt > a.net.Now()-settledS {
		return 0, false
	}
	return k.request, true
}

// finish closes the connections at the day's end.
func (a *Application) closeIdle() {
	for len(a.idleConns) > 0 {
		a.net.Close(a.idleConns[len(a.idleConns)-1].conn)
	}
}

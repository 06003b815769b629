package environment

import (
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// askAhead sends several requests that may be served at once, without waiting for the answers between.
func (m *HostileClients) sendPipelined(v *hostileConn, now float64) {
	class := m.classOf(checker.Safe)
	number := slices.IndexFunc(m.day.Classes, func(c ClassSpec) bool { return c.Name == class })
	var out []byte
	var asked []checker.Event
	for range 2 + m.rng.IntN(maxPipelined-1) {
		v.id = m.rng.Uint64() | 1
		v.pendingIDs = append(v.pendingIDs, v.id)
		e := m.event(checker.RequestStarted, v)
		e.FirstRequest, e.Class, e.Deadline, e.Uncounted = v.id, int32(number), now+retryTimeoutSeconds, true
		m.observer.Observe(e)
		asked = append(asked, e)
		out = append(append(append(out, "GET /"...), class...), " HTTP/1.1\r\nHost: h\r\nRequest-Id: "...)
		out = append(appendID(out, v.id), "\r\nRequest-Timeout: 1000m\r\n\r\n"...)
	}
	conn := v.conn
	if _, err := conn.Write(out); err != nil || v.conn != conn || conn.OutboundBuffered() > 0 {
		return
	}
	for i, e := range asked {
		e.Kind, e.Reused = checker.RequestSent, i > 0
		m.observer.Observe(e)
	}
}

// answeredAhead takes the answers of requests that were sent at once. One that says that the connection ends is the last: the client
// goes, and is owed nothing for the others.
func (m *HostileClients) readPipelined(v *hostileConn) {
	for v.conn != nil && len(v.pendingIDs) > 0 {
		done, err := v.parser.Next(&v.buf)
		switch {
		case err != nil:
			m.observePending(v, checker.ResponseTruncated)
			m.net.Close(v.conn)
		case !done:
			return
		default:
			v.id = v.pendingIDs[0]
			v.pendingIDs = v.pendingIDs[1:]
			v.requests++
			e := m.event(checker.ResponseReceived, v)
			e.Status, e.Digest = int32(v.parser.Status), checker.Digest(v.parser.Body)
			m.observer.Observe(e)
			if len(v.pendingIDs) == 0 || !v.parser.IsPersistent() {
				m.net.Close(v.conn)
			}
			v.parser = http1.NewResponseParser(messageLimits)
		}
	}
}

// each tells the witness of all requests of a client that are not answered yet.
func (m *HostileClients) observePending(v *hostileConn, kind checker.Kind) {
	for i, id := range v.pendingIDs {
		v.id = id
		e := m.event(kind, v)
		e.Reused = i > 0
		m.observer.Observe(e)
	}
	v.pendingIDs = nil
}

// endedAhead takes the end of the connection of requests that were sent at once.
func (m *HostileClients) pipelineClosed(c netio.Conn, v *hostileConn, err error) {
	if err == nil {
		m.observePending(v, checker.RequestAbandoned)
		return
	}
	rest := v.pendingIDs
	if len(rest) > 0 && v.parser.HasBegun() {
		v.pendingIDs, rest = rest[:1], rest[1:]
		m.observePending(v, checker.ResponseTruncated)
	}
	for i, id := range rest {
		v.id = id
		e := m.event(checker.ConnectionDropped, v)
		e.Reused, e.WasRead = v.requests > 0 || i > 0, readByPeer(c)
		m.observer.Observe(e)
		m.observer.Observe(m.event(checker.RequestAbandoned, v)) // it does not come again
	}
	v.pendingIDs = nil
}

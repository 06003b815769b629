package environment

import (
	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
)

// ask asks for something that may be served.
func (m *HostileClients) sendValid(v *hostileConn, now float64) {
	class := 0
	for class < len(m.day.Classes)-1 && m.day.Classes[class].Effect != checker.Safe {
		class++
	}
	v.requests++
	v.id = m.rng.Uint64() | 1
	// Danger: a parser that has read an answer takes the next one for the same answer's body.
	v.parser = http1.NewResponseParser(messageLimits)
	e := m.event(checker.RequestStarted, v)
	e.FirstRequest, e.Class, e.Deadline, e.Uncounted = v.id, int32(class), now+retryTimeoutSeconds, true
	m.observer.Observe(e)
	out := append(append(append(m.out[:0], "GET /"...), m.day.Classes[class].Name...), " HTTP/1.1\r\nHost: h\r\nRequest-Id: "...)
	out = append(appendID(out, v.id), "\r\nRequest-Timeout: 1000m\r\n\r\n"...)
	m.out = out
	conn := v.conn
	if _, err := conn.Write(out); err == nil && v.conn == conn && conn.OutboundBuffered() == 0 {
		e.Kind, e.Reused = checker.RequestSent, v.requests > 1
		m.observer.Observe(e)
	}
}

func (m *HostileClients) retryRejected(v *hostileConn) {
	e := m.event(checker.ResponseReceived, v)
	e.Status, e.Digest = int32(v.parser.Status), checker.Digest(v.parser.Body)
	m.observer.Observe(e)
	v.id = 0
	refused := v.parser.Status == 429 || v.parser.Status == 503
	if !refused || v.requests >= maxImmediateRetries || !v.parser.IsPersistent() {
		m.net.Close(v.conn)
		return
	}
	m.sendValid(v, m.net.Now())
}

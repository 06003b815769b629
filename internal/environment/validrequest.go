package environment

import (
	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
)

// sendValid sends a valid request.
func (h *HostileClients) sendValid(conn *hostileConn, now float64) {
	class := 0
	for class < len(h.day.Classes)-1 && h.day.Classes[class].Effect != checker.Safe {
		class++
	}
	conn.requests++
	conn.id = h.rng.Uint64() | 1
	// Danger: a parser that has read an answer would parse the next one as the same answer's body.
	conn.parser = http1.NewResponseParser(messageLimits)
	e := h.event(checker.RequestStarted, conn)
	e.FirstRequest, e.Class, e.Deadline, e.Uncounted = conn.id, int32(class), now+retryTimeoutSeconds, true
	h.observer.Observe(e)
	out := append(append(append(h.buffer[:0], "GET /"...), h.day.Classes[class].Name...), " HTTP/1.1\r\nHost: h\r\nRequest-Id: "...)
	out = append(appendID(out, conn.id), "\r\nRequest-Timeout: 1000m\r\n\r\n"...)
	h.buffer = out
	netConn := conn.conn
	if _, err := netConn.Write(out); err == nil && conn.conn == netConn && netConn.OutboundBuffered() == 0 {
		e.Kind, e.Reused = checker.RequestSent, conn.requests > 1
		h.observer.Observe(e)
	}
}

// retryRejected handles the answer to a valid request: a rejected one is sent again at once.
func (h *HostileClients) retryRejected(conn *hostileConn) {
	e := h.event(checker.ResponseReceived, conn)
	e.Status, e.Digest = int32(conn.parser.Status), checker.Digest(conn.parser.Body)
	h.observer.Observe(e)
	conn.id = 0
	isRejected := conn.parser.Status == 429 || conn.parser.Status == 503
	if !isRejected || conn.requests >= maxImmediateRetries || !conn.parser.IsPersistent() {
		h.net.Close(conn.conn)
		return
	}
	h.sendValid(conn, h.net.Now())
}

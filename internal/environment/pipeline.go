package environment

import (
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// sendPipelined sends several valid requests at once, without waiting for answers.
func (h *HostileClients) sendPipelined(conn *hostileConn, now float64) {
	class := h.classOf(checker.Safe)
	number := slices.IndexFunc(h.day.Classes, func(spec ClassSpec) bool { return spec.Name == class })
	var out []byte
	var sent []checker.Event
	for range 2 + h.rng.IntN(maxPipelined-1) {
		conn.id = h.rng.Uint64() | 1
		conn.pendingIDs = append(conn.pendingIDs, conn.id)
		e := h.event(checker.RequestStarted, conn)
		e.FirstRequest, e.Class, e.Deadline, e.Uncounted = conn.id, int32(number), now+retryTimeoutSeconds, true
		h.observer.Observe(e)
		sent = append(sent, e)
		out = append(append(append(out, "GET /"...), class...), " HTTP/1.1\r\nHost: h\r\nRequest-Id: "...)
		out = append(appendID(out, conn.id), "\r\nRequest-Timeout: 1000m\r\n\r\n"...)
	}
	netConn := conn.conn
	if _, err := netConn.Write(out); err != nil || conn.conn != netConn || netConn.OutboundBuffered() > 0 {
		return
	}
	for i, e := range sent {
		e.Kind, e.Reused = checker.RequestSent, i > 0
		h.observer.Observe(e)
	}
}

// readPipelined reads the answers to pipelined requests. One that ends the connection is the last: the client closes, and no
// answer is required for the others.
func (h *HostileClients) readPipelined(conn *hostileConn) {
	for conn.conn != nil && len(conn.pendingIDs) > 0 {
		done, err := conn.parser.Next(&conn.buf)
		switch {
		case err != nil:
			h.observePending(conn, checker.ResponseTruncated)
			h.net.Close(conn.conn)
		case !done:
			return
		default:
			conn.id = conn.pendingIDs[0]
			conn.pendingIDs = conn.pendingIDs[1:]
			conn.requests++
			e := h.event(checker.ResponseReceived, conn)
			e.Status, e.Digest = int32(conn.parser.Status), checker.Digest(conn.parser.Body)
			h.observer.Observe(e)
			if len(conn.pendingIDs) == 0 || !conn.parser.IsPersistent() {
				h.net.Close(conn.conn)
			}
			conn.parser = http1.NewResponseParser(messageLimits)
		}
	}
}

// observePending reports an event for each request without an answer.
func (h *HostileClients) observePending(conn *hostileConn, kind checker.Kind) {
	for i, id := range conn.pendingIDs {
		conn.id = id
		e := h.event(kind, conn)
		e.Reused = i > 0
		h.observer.Observe(e)
	}
	conn.pendingIDs = nil
}

// pipelineClosed handles the close of a connection with pipelined requests.
func (h *HostileClients) pipelineClosed(c netio.Conn, conn *hostileConn, err error) {
	if err == nil {
		h.observePending(conn, checker.RequestAbandoned)
		return
	}
	rest := conn.pendingIDs
	if len(rest) > 0 && conn.parser.HasBegun() {
		conn.pendingIDs, rest = rest[:1], rest[1:]
		h.observePending(conn, checker.ResponseTruncated)
	}
	for i, id := range rest {
		conn.id = id
		e := h.event(checker.ConnectionDropped, conn)
		e.Reused, e.WasRead = conn.requests > 0 || i > 0, readByPeer(c)
		h.observer.Observe(e)
		h.observer.Observe(h.event(checker.RequestAbandoned, conn)) // it isn't sent again
	}
	conn.pendingIDs = nil
}

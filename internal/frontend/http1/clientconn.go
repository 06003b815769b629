package http1

import (
	"errors"
	"strings"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
)

// clientConn is a client connection that speaks HTTP/1.1.
type clientConn struct {
	sidecar.ClientConn
	frontend     *Frontend
	parser       http1.RequestParser
	sentContinue bool  // 100 Continue was written
	uploading    *call // its body is still arriving; nil: none is
	isChunked    bool  // the response that is forwarded in parts is chunked
	minorVersion int   // of HTTP/1, of the present request
}

// ReadRequest implements sidecar.ClientCodec. It writes 100 Continue to a client that waits for it with the body.
func (c *clientConn) ReadRequest(buf *buffer.Buffer) (bool, error) {
	if b := buf.Bytes(); !c.parser.HasBegun() && looksLikeThrift(b) {
		return false, errThrift
	}
	complete, err := c.parser.Next(buf)
	if !complete && err == nil && !c.sentContinue && c.parser.ExpectsContinue() {
		c.sentContinue = true
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	ready := complete || err == nil && c.parser.IsHeadComplete() && len(c.parser.Body) >= c.BodyBufferLimit()
	return ready, err
}

// ReadBody implements sidecar.ClientCodec.
func (c *clientConn) ReadBody(buf *buffer.Buffer) error {
	complete, err := c.parser.Next(buf)
	b := &c.uploading.body
	b.Buffered, b.IsComplete = append(b.Buffered, c.parser.TakeBody()...), complete
	if complete {
		c.uploading = nil
		c.SetKeepAlive(c.parser.IsPersistent())
		c.parser.Release()
	}
	return err
}

// PartialRequest implements sidecar.ClientCodec. The body counts as held, since it is taken off the buffer as it arrives.
func (c *clientConn) PartialRequest() (held int, begun bool) {
	return len(c.parser.Body), c.parser.HasBegun()
}

// HandleRequest implements sidecar.ClientCodec: it routes the request.
func (c *clientConn) HandleRequest() {
	c.sentContinue, c.minorVersion = false, c.parser.MinorVersion()
	// Danger: what follows a message that is answered before it has arrived completely is the rest of it, and no request.
	c.SetKeepAlive(c.parser.IsPersistent() && c.parser.IsComplete())
	c.route()
	c.parser.Release()
}

// errThrift ends a connection whose client has connected to the wrong port. Danger: what it sends need never end a line, and it can't read
// a response.
var errThrift = errors.New("connections at the HTTP port are closed that speak Thrift")

// looksLikeThrift reports whether bytes start as those of Thrift, framed or not, and as no request of HTTP can.
func looksLikeThrift(b []byte) bool {
	if len(b) > 4 && b[0] == 0 {
		if b = b[4:]; b[0] == 0 { // the old binary protocol
			return true
		}
	}
	return len(b) > 1 && (b[0] == 0x80 && b[1] == 1 || b[0] == 0x82 && b[1]&0x1f == 1)
}

// RejectMalformed implements sidecar.ClientCodec: the response has the status of the error.
func (c *clientConn) RejectMalformed(err error) {
	if errors.Is(err, errThrift) {
		c.CloseUnanswered(err.Error())
		return
	}
	var e *http1.Error
	switch {
	case errors.Is(err, sidecar.ErrRequestTimeout):
		e = &http1.Error{Status: 408, Reason: err.Error()}
	case !errors.As(err, &e):
		e = &http1.Error{Status: 400, Reason: err.Error()}
	}
	c.reject(e.Status, e.Reason)
}

// reject answers a message that is no request to a class.
func (c *clientConn) reject(status int, reason string, fields ...http1.Field) {
	c.CountMalformed()
	c.respond(status, append(fields, textPlain), []byte(reason+"\n"))
}

// rejectInvalid answers an invalid request to a class.
func (c *clientConn) rejectInvalid(class, status int, reason string, fields ...http1.Field) {
	c.CountInvalid(class)
	c.reject(status, reason, fields...)
}

var textPlain = http1.Field{Name: "Content-Type", Value: "text/plain"}

// route answers what concerns the sidecar itself, and submits everything else.
func (c *clientConn) route() {
	p := &c.parser
	path, query, _ := strings.Cut(p.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := c.frontend.classes[name]
	faultName, armed := c.faultName(path)
	switch {
	case ok:
		c.submit(class)
	case path == "/ready" && p.Method == "GET" && c.Sidecar().IsDrainedByOperator():
		c.respond(503, http1.Header{textPlain}, []byte("drained by the operators\n"))
	case path == "/ready" && p.Method == "GET":
		c.respond(200, http1.Header{textPlain}, []byte("ready\n"))
	case path == "/clients" && p.Method == "GET":
		c.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, c.Sidecar().ClientStatus())
	case path == "/counters" && p.Method == "GET":
		c.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, c.Sidecar().Counters())
	case path == QuotaPath && p.Method == "GET":
		c.respondQuotaStatus(query)
	case armed:
		c.startFault(faultName)
	default:
		c.reject(404, "no such class of requests")
	}
}

var _ sidecar.StreamResponder = (*clientConn)(nil)

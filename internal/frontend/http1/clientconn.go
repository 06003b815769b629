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
	uploading    *call // the call whose body is still arriving; nil: there is none
	isChunked    bool  // the response that is being streamed is sent in chunks
	minorVersion int   // of the HTTP/1 version of the current request
}

// ReadRequest implements sidecar.ClientCodec. It writes 100 Continue to a client that waits for that before it sends
// the body.
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

// PartialRequest implements sidecar.ClientCodec. The body counts as held, since it is moved out of the buffer as it arrives.
func (c *clientConn) PartialRequest() (held int, begun bool) {
	return len(c.parser.Body), c.parser.HasBegun()
}

// HandleRequest implements sidecar.ClientCodec: it routes the request.
func (c *clientConn) HandleRequest() {
	c.sentContinue, c.minorVersion = false, c.parser.MinorVersion()
	// Danger: if a request is answered before it has arrived completely, the rest of it would be parsed as the next request.
	c.SetKeepAlive(c.parser.IsPersistent() && c.parser.IsComplete())
	c.route()
	c.parser.Release()
}

// errThrift is returned for a client that speaks Thrift at the HTTP port. Danger: without this check the parser would wait for a line end
// that need not come. The client couldn't read an HTTP response.
var errThrift = errors.New("connections at the HTTP port are closed that speak Thrift")

// looksLikeThrift reports whether b starts like a Thrift message, framed or unframed. No HTTP request starts like that.
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

// reject responds to a malformed request, or to one that can't be routed or served, and counts it as malformed.
func (c *clientConn) reject(status int, reason string, fields ...http1.Field) {
	c.CountMalformed()
	c.respond(status, append(fields, textPlain), []byte(reason+"\n"))
}

// rejectInvalid responds to an invalid request of a class, and counts it for that class too.
func (c *clientConn) rejectInvalid(class, status int, reason string, fields ...http1.Field) {
	c.CountInvalid(class)
	c.reject(status, reason, fields...)
}

var textPlain = http1.Field{Name: "Content-Type", Value: "text/plain"}

// route submits a request of a class, and answers one to a path of the sidecar itself.
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

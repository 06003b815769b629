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
	front        *Frontend
	parser       http1.RequestParser
	sentContinue bool  // 100 Continue is sent
	uploading    *call // whose body is still on its way in; nil: none
	isChunked    bool  // the answer that flows goes in chunks
	minorVersion int   // the version of HTTP/1 that the present request came in
}

// ReadRequest sends word to a client that waits for it before it sends the body.
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

// ReadBody reads on in a body that flows.
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

// PartialRequest counts the body, which is taken off the buffer as it comes.
func (c *clientConn) PartialRequest() (held int, begun bool) {
	return len(c.parser.Body), c.parser.HasBegun()
}

// Take routes a request.
func (c *clientConn) HandleRequest() {
	c.sentContinue, c.minorVersion = false, c.parser.MinorVersion()
	// Danger: what follows a message that is answered before it has come whole is its rest, and no request.
	c.SetKeepAlive(c.parser.IsPersistent() && c.parser.IsComplete())
	c.route()
	c.parser.Release()
}

// errThrift is the end of a link whose client has come to the wrong port. Danger: nothing that it sends need ever end a line,
// and what it is answered it can't read.
var errThrift = errors.New("connections at the HTTP port are closed that speak Thrift")

// looksLikeThrift tells whether bytes begin as Thrift's do, framed or not, and as no request of HTTP can.
func looksLikeThrift(b []byte) bool {
	if len(b) > 4 && b[0] == 0 {
		if b = b[4:]; b[0] == 0 { // the old binary protocol
			return true
		}
	}
	return len(b) > 1 && (b[0] == 0x80 && b[1] == 1 || b[0] == 0x82 && b[1]&0x1f == 1)
}

// RejectMalformed names the status of what is wrong.
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

// decline answers a message that is no request to decide on.
func (c *clientConn) reject(status int, reason string, fields ...http1.Field) {
	c.CountMalformed()
	c.respond(status, append(fields, textPlain), []byte(reason+"\n"))
}

// spoilt does so to a request of a class that is none to decide on.
func (c *clientConn) rejectInvalid(class, status int, reason string, fields ...http1.Field) {
	c.CountInvalid(class)
	c.reject(status, reason, fields...)
}

var textPlain = http1.Field{Name: "Content-Type", Value: "text/plain"}

// route answers what concerns the sidecar itself, and hands on the rest.
func (c *clientConn) route() {
	p := &c.parser
	path, query, _ := strings.Cut(p.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := c.front.classes[name]
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

package http1

import (
	"strconv"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
)

// ForwardResponse implements sidecar.Responder.
func (c *clientConn) ForwardResponse(x sidecar.Exchange) {
	h := x.(*exchange)
	c.MarkServed()
	c.respond(h.parser.Status, h.header(), h.parser.Body)
}

// ForwardHead implements sidecar.StreamResponder.
func (c *clientConn) ForwardHead(x sidecar.Exchange) {
	p, h := &x.(*exchange).parser, x.(*exchange).header()
	c.MarkServed()
	length := p.BodyLength()
	c.isChunked = length < 0 && c.minorVersion > 0
	if c.isChunked {
		h = append(h[:len(h):len(h)], http1.ChunkedField)
	}
	dst, last, connected := c.BeginStream(length < 0 && !c.isChunked)
	if !connected {
		return
	}
	if last {
		h = append(h[:len(h):len(h)], http1.Field{Name: "Connection", Value: "close"})
	}
	c.WriteStream(c.appendBody(http1.AppendResponseHead(dst, p.Status, h, length), p.TakeBody()))
}

// ForwardBody implements sidecar.StreamResponder.
func (c *clientConn) ForwardBody(x sidecar.Exchange, last bool) {
	dst := c.appendBody(c.ScratchBuffer(), x.(*exchange).parser.TakeBody())
	if last && c.isChunked {
		dst = http1.AppendLastChunk(dst)
	}
	c.WriteStream(dst)
}

func (c *clientConn) appendBody(dst, body []byte) []byte {
	if c.isChunked {
		return http1.AppendChunk(dst, body)
	}
	return append(dst, body...)
}

// Throttle implements sidecar.Responder, with status 503.
func (c *clientConn) Throttle(retryAfterSeconds float64) {
	h := http1.Header{textPlain}
	if c.frontend.settings.RetryAfter {
		after := strconv.FormatFloat(max(retryAfterSeconds, 0), 'f', 3, 64)
		h = append(h, http1.Field{Name: fieldRetryAfter, Value: after})
	}
	c.respond(503, h, []byte("throttled\n"))
}

// Fail implements sidecar.Responder, with status 504 or 502.
func (c *clientConn) Fail(late bool) {
	if late {
		c.respond(504, http1.Header{textPlain}, []byte("no answer in time\n"))
		return
	}
	c.respond(502, http1.Header{textPlain}, []byte("no answer\n"))
}

// respond writes a response, which announces the close if it is the last on the connection.
func (c *clientConn) respond(status int, h http1.Header, body []byte) {
	dst, last, connected := c.BeginResponse(true)
	if !connected {
		return
	}
	if last {
		h = append(h[:len(h):len(h)], http1.Field{Name: "Connection", Value: "close"})
	}
	c.EndResponse(http1.AppendResponse(dst, status, h, body))
}

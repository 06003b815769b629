package http1

import (
	"strconv"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
)

// ForwardResponse passes on a server's answer.
func (c *clientConn) ForwardResponse(x sidecar.Exchange) {
	h := x.(*exchange)
	c.MarkServed()
	c.respond(h.parser.Status, h.header(), h.parser.Body)
}

// ForwardHead passes on the begin of an answer whose end has not come.
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

// ForwardBody passes on what has come since.
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

// Throttle refuses.
func (c *clientConn) Throttle(retryAfterS float64) {
	h := http1.Header{textPlain}
	if c.front.settings.RetryAfter {
		after := strconv.FormatFloat(max(retryAfterS, 0), 'f', 3, 64)
		h = append(h, http1.Field{Name: fieldRetryAfter, Value: after})
	}
	c.respond(503, h, []byte("throttled\n"))
}

// Fail says that there is no answer.
func (c *clientConn) Fail(late bool) {
	if late {
		c.respond(504, http1.Header{textPlain}, []byte("no answer in time\n"))
		return
	}
	c.respond(502, http1.Header{textPlain}, []byte("no answer\n"))
}

// respond answers, and tells the client where the answer is the last.
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

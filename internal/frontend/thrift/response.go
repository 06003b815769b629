package thrift

import (
	"strconv"

	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/thrift"
)

// ForwardResponse implements sidecar.Responder.
func (c *clientConn) ForwardResponse(x sidecar.Exchange) {
	c.MarkServed()
	dst, _, connected := c.BeginResponse(false)
	if !connected {
		return
	}
	if c.message.Kind != thrift.Oneway {
		dst = x.(*exchange).reply.AppendWithSeq(dst, c.message.Seq)
	}
	c.EndResponse(dst)
}

// Exception texts for calls without a reply from a server. Programs distinguish these cases by the exception's type; the texts are for people.
const (
	throttledText = "throttled; retry-after="
	failedText    = "failed; it may have run"
	lateText      = "no answer in time; it may have run"
)

// Throttle implements sidecar.Responder; the text may contain the number of seconds to wait before a retry.
func (c *clientConn) Throttle(retryAfterSeconds float64) {
	text := throttledText
	if c.frontend.settings.RetryAfter {
		text += strconv.FormatFloat(max(retryAfterSeconds, 0), 'f', 3, 64)
	} else {
		text = text[:len("throttled")]
	}
	c.respondException(thrift.LoadShedding, text)
}

// Fail implements sidecar.Responder.
func (c *clientConn) Fail(isLate bool) {
	if isLate {
		c.respondException(thrift.TimedOutException, lateText)
		return
	}
	c.respondException(thrift.InternalError, failedText)
}

// respondException writes a TApplicationException, or nothing for a one-way call.
func (c *clientConn) respondException(kind thrift.ExceptionType, text string) {
	dst, _, connected := c.BeginResponse(false)
	if !connected {
		return
	}
	if c.message.Kind != thrift.Oneway {
		dst = thrift.AppendException(dst, c.message.Encoding, string(methodName(c.message.Name)), c.message.Seq, kind, text)
	}
	c.EndResponse(dst)
}

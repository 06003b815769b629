package thrift

import (
	"strconv"

	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/thrift"
)

// ForwardResponse passes on a server's answer.
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

// What a client is told of calls without an answer; programs tell them apart by the exception's type, and people by its text.
const (
	throttledText = "throttled; retry-after="
	failedText    = "failed; it may have run"
	lateText      = "no answer in time; it may have run"
)

// Throttle refuses, and says when to come again in seconds.
func (c *clientConn) Throttle(retryAfterS float64) {
	text := throttledText
	if c.front.settings.RetryAfter {
		text += strconv.FormatFloat(max(retryAfterS, 0), 'f', 3, 64)
	} else {
		text = text[:len("throttled")]
	}
	c.respondException(thrift.LoadShedding, text)
}

// Fail says that there is no answer.
func (c *clientConn) Fail(isLate bool) {
	if isLate {
		c.respondException(thrift.TimedOutException, lateText)
		return
	}
	c.respondException(thrift.InternalError, failedText)
}

// exception answers with a TApplicationException, or with nothing where nobody waits for an answer.
func (c *clientConn) respondException(kind int32, text string) {
	dst, _, connected := c.BeginResponse(false)
	if !connected {
		return
	}
	if c.message.Kind != thrift.Oneway {
		dst = thrift.AppendException(dst, c.message.Encoding, string(methodName(c.message.Name)), c.message.Seq, kind, text)
	}
	c.EndResponse(dst)
}

package http1

import (
	"hazelwheel/internal/buffer"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
	"hazelwheel/policy"
)

// exchange is one attempt of a call.
type exchange struct {
	call                *call
	parser              http1.ResponseParser
	isChunked           bool // the request's body is sent in chunks
	isLastChunkAppended bool // the zero-length chunk that ends the body was appended
}

// AppendRequest implements sidecar.Exchange.
func (x *exchange) AppendRequest(dst []byte, now, deadline float64) []byte {
	c := x.call
	dst = http1.AppendFields(http1.AppendRequestLine(dst, c.method, c.target), c.header)
	dst = append(appendTimeout(append(dst, fieldTimeout+": "...), deadline-now), "\r\n"...)
	length := c.body.Length
	switch {
	case c.body.IsComplete:
		length = len(c.body.Buffered)
	case length < 0:
		x.isChunked = true
		dst = http1.AppendFields(dst, http1.Header{http1.ChunkedField})
	}
	if length == 0 && c.method == "GET" {
		length = -1
	}
	return x.AppendBody(http1.AppendHeader(dst, nil, length), sidecar.ChunkBytes)
}

// AppendBody implements sidecar.Exchange.
func (x *exchange) AppendBody(dst []byte, maxBytes int) []byte {
	body := x.call.body.Next(maxBytes)
	if !x.isChunked {
		return append(dst, body...)
	}
	dst = http1.AppendChunk(dst, body)
	if b := &x.call.body; b.IsComplete && b.UnsentBytes() == 0 && !x.isLastChunkAppended {
		x.isLastChunkAppended = true
		dst = http1.AppendLastChunk(dst)
	}
	return dst
}

// IsRequestAppended implements sidecar.Exchange.
func (x *exchange) IsRequestAppended() bool {
	b := &x.call.body
	return b.IsComplete && b.UnsentBytes() == 0 && (!x.isChunked || x.isLastChunkAppended)
}

// ExceedsBuffer implements sidecar.StreamingExchange.
func (x *exchange) ExceedsBuffer() bool {
	p := &x.parser
	return p.IsHeadComplete() && !p.IsComplete() && max(p.BodyLength(), p.ReceivedBodyBytes()) > sidecar.MaxBodyBytes
}

// ReadResponse implements sidecar.Exchange.
func (x *exchange) ReadResponse(buf *buffer.Buffer) (bool, error) { return x.parser.Next(buf) }

// HasResponseBegun implements sidecar.Exchange.
func (x *exchange) HasResponseBegun() bool { return x.parser.HasBegun() }

// IsOneWay implements sidecar.Exchange.
func (x *exchange) IsOneWay() bool { return false }

// HandleEOF implements sidecar.Exchange.
func (x *exchange) HandleEOF() bool { return x.parser.HandleEOF() }

// header returns the response's header as it is forwarded to the client.
func (x *exchange) header() http1.Header {
	if r := &x.call.frontend.rewrites; r.On() {
		return r.Answer(x.parser.Header, x.call.class, x.call.path())
	}
	return x.parser.Header.EndToEnd()
}

// Result implements sidecar.Exchange. Only the header field Not-Started proves that the server has not run the request.
func (x *exchange) Result() (policy.Outcome, policy.Report, bool) {
	p := &x.parser
	outcome := policy.HostError
	switch {
	case p.Status == 200:
		outcome = policy.OK
	case (p.Status == 503 || p.Status == 504) && p.Header.Get(fieldNotStarted) == "1":
		outcome = policy.Rejected
	}
	return outcome, x.call.frontend.parseReport(p.Header.Get(fieldLoad)), p.IsPersistent()
}

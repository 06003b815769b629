package thrift

import (
	"bytes"
	"strings"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/thrift"
	"hazelwheel/policy"
)

// exchange is one attempt of a call.
type exchange struct {
	call     *call
	sequence int32
	hasBegun bool
	reply    thrift.Message // refers to the backend connection's buffer, valid until more bytes arrive
	outcome  policy.Outcome
}

// Errors for messages that can be parsed but do not reply to the call.
const (
	errNoReply  thrift.Error = "a message that is no reply"
	errSequence thrift.Error = "another sequence number than the call's"
	errName     thrift.Error = "another method than the call's"
	errEncoding thrift.Error = "another encoding than the call's"
)

// AppendRequest implements sidecar.Exchange. The call is forwarded as received except for the sequence number; the deadline in it is not
// updated.
func (x *exchange) AppendRequest(dst []byte, _, _ float64) []byte {
	x.sequence = x.call.frontend.nextSequence()
	return x.call.message.AppendWithSeq(dst, x.sequence)
}

// ReadResponse implements sidecar.Exchange. After a malformed reply, or one to another call, the server may have run this call.
func (x *exchange) ReadResponse(buf *buffer.Buffer) (bool, error) {
	x.hasBegun = x.hasBegun || buf.Len() > 0
	payload, size, err := thrift.CutFrame(buf.Bytes(), maxFrameBytes)
	if err != nil || size == 0 {
		return false, err
	}
	m, err := thrift.ParseMessage(payload)
	if err != nil {
		return false, err
	}
	if err := x.checkReply(&m); err != nil {
		return false, err
	}
	x.outcome = policy.OK
	if m.Kind == thrift.Exception {
		_, text, err := m.DecodeException()
		if err != nil {
			return false, err
		}
		x.outcome = x.call.frontend.exceptionOutcome(text)
	} else if err := m.Validate(); err != nil {
		return false, err
	}
	x.reply = m
	buf.Discard(size)
	return true, nil
}

// exceptionOutcome returns the outcome of a TApplicationException with a text. Only the configured prefix NotStarted proves that the server
// has not run the call.
func (f *Frontend) exceptionOutcome(text []byte) policy.Outcome {
	if strings.HasPrefix(string(text), f.config.NotStarted) {
		return policy.Rejected
	}
	return policy.HostError
}

// checkReply returns why a message is not the call's reply, nil if it is. Most servers reply with the method's name without the service.
func (x *exchange) checkReply(m *thrift.Message) error {
	own := &x.call.message
	switch {
	case m.Kind != thrift.Reply && m.Kind != thrift.Exception:
		return errNoReply
	case m.Seq != x.sequence:
		return errSequence
	case !bytes.Equal(m.Name, own.Name) && !bytes.Equal(m.Name, methodName(own.Name)):
		return errName
	case (m.Encoding == thrift.Compact) != (own.Encoding == thrift.Compact):
		return errEncoding
	}
	return nil
}

// AppendBody implements sidecar.Exchange: a call is appended completely, and submitted only when it is complete.
func (x *exchange) AppendBody(dst []byte, _ int) []byte { return dst }

// IsRequestAppended implements sidecar.Exchange.
func (x *exchange) IsRequestAppended() bool { return true }

// HasResponseBegun implements sidecar.Exchange.
func (x *exchange) HasResponseBegun() bool { return x.hasBegun }

// HandleEOF implements sidecar.Exchange.
func (x *exchange) HandleEOF() bool { return false }

// IsOneWay implements sidecar.Exchange.
func (x *exchange) IsOneWay() bool { return x.call.message.Kind == thrift.Oneway }

// ResponseBytes implements sidecar.CostReporter.
func (x *exchange) ResponseBytes() int { return len(x.reply.Raw) }

// ServiceSeconds implements sidecar.CostReporter. A reply has no field for it.
func (x *exchange) ServiceSeconds() (seconds float64, ok bool) { return 0, false }

// Result implements sidecar.Exchange. A reply that holds an exception which the method declares is a success.
func (x *exchange) Result() (policy.Outcome, policy.Report, bool) {
	return x.outcome, policy.Report{}, true
}

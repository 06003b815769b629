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
	reply    thrift.Message // lies in the backend connection's buffer until the next bytes come
	outcome  policy.Outcome
}

// What is wrong with a reply that can be read.
const (
	errNoReply  thrift.Error = "a message that is no reply"
	errSequence thrift.Error = "another sequence number than the call's"
	errName     thrift.Error = "another method than the call's"
	errEncoding thrift.Error = "another encoding than the call's"
)

// AppendRequest writes the call as it came, but for the sequence number: what it says of the client's patience goes on unchanged.
func (x *exchange) AppendRequest(dst []byte, _, _ float64) []byte {
	x.sequence = x.call.front.nextSequence()
	return x.call.message.AppendWithSeq(dst, x.sequence)
}

// ReadRequest takes a reply that is whole. What makes no sense, or answers another call, says that the server has come to this one.
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
		x.outcome = x.call.front.exceptionOutcome(text)
	} else if err := m.Validate(); err != nil {
		return false, err
	}
	x.reply = m
	buf.Discard(size)
	return true, nil
}

// refusal tells what a TApplicationException means. Only a server's word that it has not begun proves that nothing has run.
func (f *Frontend) exceptionOutcome(text []byte) policy.Outcome {
	if strings.HasPrefix(string(text), f.config.NotStarted) {
		return policy.Rejected
	}
	return policy.HostError
}

// fits tells what keeps a message from being the call's reply. A reply names the method, mostly without the service.
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

// A call is appended whole, and never handed on before it is.
func (x *exchange) AppendBody(dst []byte, _ int) []byte { return dst }

func (x *exchange) IsRequestAppended() bool { return true }

func (x *exchange) HasResponseBegun() bool { return x.hasBegun }

func (x *exchange) HandleEOF() bool { return false }

func (x *exchange) IsOneWay() bool { return x.call.message.Kind == thrift.Oneway }

// ResponseBytes counts the reply, as quotas do.
func (x *exchange) ResponseBytes() int { return len(x.reply.Raw) }

// ServiceSeconds knows nothing: a reply has no place for it.
func (x *exchange) ServiceSeconds() (seconds float64, ok bool) { return 0, false }

// Result says that a reply is the method's own answer, a declared exception as well.
func (x *exchange) Result() (policy.Outcome, policy.Report, bool) {
	return x.outcome, policy.Report{}, true
}

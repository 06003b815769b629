package thrift

import (
	"encoding/hex"
	"errors"
	"strconv"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/thrift"
	"hazelwheel/policy"
)

// clientConn is a client connection that speaks Thrift. Calls that come ahead wait in its buffer and in the socket: they are answered in
// their order, one at a time, as a server of the Apache libraries does.
type clientConn struct {
	sidecar.ClientConn
	front *Frontend
	m     thrift.Message // the one that was read last, or is out
}

// ReadRequest takes one message off the buffer. It lies there until Take, which comes before any more bytes.
func (l *clientConn) ReadRequest(buf *buffer.Buffer) (bool, error) {
	payload, size, err := thrift.Frame(buf.Bytes(), mostFrame)
	if err != nil || size == 0 {
		return false, err
	}
	if l.m, err = thrift.Read(payload); err != nil {
		return false, err
	}
	buf.Discard(size)
	return true, nil
}

// ReadBody is never called: a message is handed on whole.
func (l *clientConn) ReadBody(*buffer.Buffer) error { return nil }

// Partial holds nothing: a message stays in the buffer until it is whole.
func (l *clientConn) PartialRequest() (held int, begun bool) { return 0, false }

// RejectMalformed closes a link without a word: what can't be read has no sequence number to answer to.
func (l *clientConn) RejectMalformed(err error) {
	if errors.Is(err, sidecar.ErrRequestTimeout) {
		l.CloseUnanswered("connections are closed whose calls do not arrive")
		return
	}
	l.CloseUnanswered("connections at the Thrift port are closed that speak no framed Thrift: " + err.Error())
}

// HandleRequest hands a call on, or answers it.
func (l *clientConn) HandleRequest() {
	m := &l.m
	l.SetKeepAlive(true)
	if m.Kind != thrift.Call && m.Kind != thrift.Oneway {
		l.spoilt(thrift.InvalidKind, "a message that is no call")
		return
	}
	class := l.front.methods[string(m.Name)]
	var paths []thrift.Path
	if class != nil {
		paths = class.paths
	}
	var found [thrift.MostPaths]thrift.Value
	if err := m.Find(paths, &found); err != nil {
		l.spoilt(thrift.ProtocolError, err.Error())
		return
	}
	if class == nil {
		l.decline(thrift.UnknownMethod, "no method that is known here")
		return
	}
	l.ask(class, found[0], found[1], found[2], found[3].Int != 0)
}

// ask hands a call of a class on, with what was found in it.
func (l *clientConn) ask(c *class, id, key, patience thrift.Value, again bool) {
	a := sidecar.IncomingRequest{Class: c.number, Tenant: sidecar.UnknownTenant, TimeoutSeconds: c.TotalTimeoutSeconds, HeldBytes: len(l.m.Raw), IsRetry: again, IsOneWay: l.m.Kind == thrift.Oneway}
	if patience.Type != thrift.Stop {
		var ok bool
		if a.TimeoutSeconds, ok = seconds(patience, c.UnitS); !ok {
			l.decline(thrift.ProtocolError, "a patience that is no number from 0")
			return
		}
	}
	if len(id.Bytes) > mostID {
		l.decline(thrift.ProtocolError, "an id of more than 256 bytes")
		return
	}
	if a.ID = name(id); a.ID == "" {
		a.ID = l.front.id()
	}
	if l.Sidecar().IsRequestOpen(a.ID) {
		l.decline(thrift.InternalError, "its id is that of an open call")
		return
	}
	// Without a key nothing drops a repeat, whatever the class says.
	a.AtMostOnce = c.Effect == policy.Keyed && len(key.Bytes) == 0 && key.Int == 0
	if l.Admit(c.number) {
		call := newCall(l.front, l.m)
		l.m, a.Call = call.m, call
		l.Submit(a)
	}
}

// mostID bounds an id. Danger: the capture and the log hold it many times over.
const mostID = 256

// name returns an id as text that a line of a log can hold; "": there is none.
func name(id thrift.Value) string {
	for _, b := range id.Bytes {
		if b <= ' ' || b >= 0x7f {
			return hex.EncodeToString(id.Bytes)
		}
	}
	if id.Type == thrift.I64 || id.Type == thrift.I32 {
		return strconv.FormatInt(id.Int, 10)
	}
	return string(id.Bytes)
}

// seconds reads a span of time in a unit.
func seconds(v thrift.Value, unitS float64) (float64, bool) {
	n := float64(v.Int)
	switch v.Type {
	case thrift.Double:
		n = v.Double
	case thrift.I16, thrift.I32, thrift.I64:
	default:
		return 0, false
	}
	return n * unitS, n >= 0 && n < 1e15
}

// decline answers a call that is none to decide on. Such a call has not run.
func (l *clientConn) decline(kind int32, why string) {
	l.CountMalformed()
	l.exception(kind, why)
}

// spoilt ends a link with a message that makes no sense.
func (l *clientConn) spoilt(kind int32, why string) {
	l.SetKeepAlive(false)
	l.decline(kind, why)
}

// ForwardResponse passes on a server's answer.
func (l *clientConn) ForwardResponse(x sidecar.Exchange) {
	l.MarkServed()
	dst, _, there := l.BeginResponse(false)
	if !there {
		return
	}
	if l.m.Kind != thrift.Oneway {
		dst = x.(*exchange).reply.AppendAs(dst, l.m.Seq)
	}
	l.EndResponse(dst)
}

// What a client is told of calls without an answer; programs tell them apart by the exception's type, and people by its text.
const (
	throttled = "throttled; retry-after="
	failed    = "failed; it may have run"
	late      = "no answer in time; it may have run"
)

// Throttle refuses, and says when to come again in seconds.
func (l *clientConn) Throttle(retryAfterS float64) {
	text := throttled
	if l.front.settings.RetryAfter {
		text += strconv.FormatFloat(max(retryAfterS, 0), 'f', 3, 64)
	} else {
		text = text[:len("throttled")]
	}
	l.exception(thrift.LoadShedding, text)
}

// Fail says that there is no answer.
func (l *clientConn) Fail(isLate bool) {
	if isLate {
		l.exception(thrift.TimedOutException, late)
		return
	}
	l.exception(thrift.InternalError, failed)
}

// exception answers with a TApplicationException, or with nothing where nobody waits for an answer.
func (l *clientConn) exception(kind int32, text string) {
	dst, _, there := l.BeginResponse(false)
	if !there {
		return
	}
	if l.m.Kind != thrift.Oneway {
		dst = thrift.AppendException(dst, l.m.Encoding, string(bare(l.m.Name)), l.m.Seq, kind, text)
	}
	l.EndResponse(dst)
}

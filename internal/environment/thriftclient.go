package environment

import (
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/thrift"
)

// responseReader parses a sidecar's answers, over HTTP or Thrift.
type responseReader struct {
	protocol   Protocol
	parser     http1.ResponseParser
	hasBegun   bool
	Status     int // as over HTTP
	Body       []byte
	retryAfter string // when to retry, in seconds; "": not given
}

// newResponseReader returns a reader of one answer.
func newResponseReader(s Protocol) responseReader {
	return responseReader{protocol: s, parser: http1.NewResponseParser(messageLimits)}
}

// Next parses on and reports whether the answer is complete.
func (r *responseReader) Next(buf *http1.Buffer) (bool, error) {
	if r.protocol.IsThrift() {
		return r.nextThrift(buf)
	}
	isComplete, err := r.parser.Next(buf)
	r.hasBegun = r.parser.HasBegun()
	r.Status, r.Body, r.retryAfter = r.parser.Status, r.parser.Body, r.parser.Header.Get(fieldRetryAfter)
	return isComplete, err
}

// HasBegun reports whether a part of the answer has arrived.
func (r *responseReader) HasBegun() bool { return r.hasBegun }

// IsPersistent reports whether the connection may be used again after the answer.
func (r *responseReader) IsPersistent() bool { return r.protocol.IsThrift() || r.parser.IsPersistent() }

var resultPath = []thrift.Path{{0}}

// nextThrift is Next for Thrift.
func (r *responseReader) nextThrift(buf *http1.Buffer) (bool, error) {
	r.hasBegun = r.hasBegun || buf.Len() > 0
	payload, size, err := thrift.CutFrame(buf.Bytes(), messageLimits.BufferedBodyBytes)
	if err != nil || size == 0 {
		return false, err
	}
	m, err := thrift.ParseMessage(payload)
	if err != nil {
		return false, err
	}
	if m.Kind != thrift.Exception {
		var found [thrift.MaxPaths]thrift.Value
		if err := m.Find(resultPath, &found); err != nil {
			return false, err
		}
		r.Status, r.Body = 200, append([]byte(nil), found[0].Bytes...)
		buf.Discard(size)
		return true, nil
	}
	kind, text, err := m.DecodeException()
	switch r.Status = 400; kind {
	case thrift.LoadShedding:
		r.Status = 503
	case thrift.TimedOutException:
		r.Status = 504
	case thrift.InternalError:
		r.Status = 502
	}
	_, r.retryAfter, _ = strings.Cut(string(text), "retry-after=")
	buf.Discard(size)
	return true, err
}

// appendCall appends an operation's request in its Thrift form.
func (a *Application) appendCall(dst []byte, op *operation) []byte {
	var observer thrift.Writer
	observer.BeginMessage(dst, a.day.Protocol.encoding(), thrift.Call, a.day.Classes[op.class].Name, int32(op.request))
	observer.FieldHeader(thrift.String, argID)
	observer.String(string(appendID(nil, op.request)))
	if op.idempotencyKey != 0 {
		observer.FieldHeader(thrift.String, argKey)
		observer.String(string(appendID(nil, op.idempotencyKey)))
	}
	observer.FieldHeader(thrift.I64, argTimeout)
	observer.I64(max(1, int64((op.requestDeadline-a.net.Now())*1e6)))
	if op.requests > 1 && a.spec.FlagsRetries {
		observer.FieldHeader(thrift.Bool, argRetry)
		observer.Bool(true)
	}
	observer.FieldHeader(thrift.String, argBody)
	observer.Bytes(a.body[:op.bodySize])
	return observer.EndMessage()
}

// sendMalformedCall sends what no Thrift port may accept as a call, and reports whether a client of this kind has such bytes;
// the other kinds send HTTP there. A smuggled or incomplete request must never be executed: its id is unknown to the checker.
func (h *HostileClients) sendMalformedCall(conn *hostileConn, now float64, class string) bool {
	call := func(dst []byte, name string, patience int64) []byte {
		var observer thrift.Writer
		observer.BeginMessage(dst, h.day.Protocol.encoding(), thrift.Call, name, 1)
		observer.FieldHeader(thrift.String, argID)
		observer.String(string(appendID(nil, h.rng.Uint64()|1)))
		observer.FieldHeader(thrift.I64, argTimeout)
		observer.I64(patience)
		return observer.EndMessage()
	}
	out := h.buffer[:0]
	switch conn.kind {
	case sendsNegativeLength:
		out = append(call(out, class, 1e6), 0xff, 0xff, 0xff, 0xff)
		copy(out, out[len(out)-4:])
	case sendsHugeBody:
		out = append(out, hugeBody>>24, hugeBody>>16&0xff, hugeBody>>8&0xff, hugeBody&0xff, 0x82)
		h.tasks.add(now, hostileTask{conn: conn})
	case sendsEndlessHead: // a frame of the largest size, in pieces
		out = append(out, 0, 0, 0xff, 0xff, 0x82, 0x21)
		h.tasks.add(now, hostileTask{conn: conn})
	case requestsUnknownClass:
		out = call(out, "no-such-method", 1e6)
	case requestsOddDeadline:
		out = call(out, class, -1)
	case requestsHalf:
		out = call(out, class, 1e6)
		out = out[:len(out)/2]
		h.tasks.add(now+h.rng.Float64(), hostileTask{conn: conn, closes: true})
	case smugglesRequest: // in the same frame
		out = call(out, class, 1e6)
		out = call(out, class, 1e6)
		out[2], out[3] = byte((len(out)-4)>>8), byte(len(out)-4)
	default:
		return false
	}
	h.buffer = out
	conn.conn.Write(out) // a connection that breaks here is closed by the network
	return true
}

package environment

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/thrift"
)

// Speech is what applications, and through their sidecars boxes, speak.
type Protocol string

// The speeches. What a day means does not depend on its speech.
const (
	HTTP          Protocol = "http"
	ThriftBinary  Protocol = "binary"
	ThriftCompact Protocol = "compact"
)

// Speeches are all there are.
var Protocols = []Protocol{HTTP, ThriftBinary, ThriftCompact}

// Thrift tells whether it is Thrift; a day that names no speech has HTTP.
func (s Protocol) IsThrift() bool { return s == ThriftBinary || s == ThriftCompact }

func (s Protocol) encoding() thrift.Encoding {
	if s == ThriftCompact {
		return thrift.Compact
	}
	return thrift.Binary
}

// thriftPort is where sidecars listen for Thrift.
const thriftPort = 9090

// ThriftAddress returns where a sidecar listens for Thrift that listens for HTTP at an address.
func ThriftAddress(address string) string {
	return netip.AddrPortFrom(netip.MustParseAddrPort(address).Addr(), thriftPort).String()
}

// ThriftProbe is the method by which sidecars probe boxes.
const ThriftProbe = "status"

// The fields of a call's arguments; the method's name is that of the class. A result has the answer's body in field 0.
const (
	argID      = 1
	argKey     = 2
	argTimeout = 3 // microseconds
	argRetry   = 4
	argBody    = 5
)

// The paths of the same.
const (
	ThriftID      = "1"
	ThriftKey     = "2"
	ThriftTimeout = "3"
	ThriftRetry   = "4"
)

// answerReader reads a sidecar's answer.
type responseReader struct {
	speech Protocol
	http   http1.ResponseParser
	begun  bool
	Status int // as over HTTP
	Body   []byte
	after  string // when to come again, in seconds; "": there is no word of it
}

func newResponseReader(s Protocol) responseReader {
	return responseReader{speech: s, http: http1.NewResponseParser(messageLimits)}
}

// Next reads on and tells whether the answer is whole.
func (r *responseReader) Next(buf *http1.Buffer) (bool, error) {
	if r.speech.IsThrift() {
		return r.nextThrift(buf)
	}
	whole, err := r.http.Next(buf)
	r.begun = r.http.HasBegun()
	r.Status, r.Body, r.after = r.http.Status, r.http.Body, r.http.Header.Get(fieldRetryAfter)
	return whole, err
}

// Begun tells whether anything of the answer has come.
func (r *responseReader) Begun() bool { return r.begun }

// Keep tells whether the answer lets its connection be used again.
func (r *responseReader) Keep() bool { return r.speech.IsThrift() || r.http.IsPersistent() }

var resultPath = []thrift.Path{{0}}

func (r *responseReader) nextThrift(buf *http1.Buffer) (bool, error) {
	r.begun = r.begun || buf.Len() > 0
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
	_, r.after, _ = strings.Cut(string(text), "retry-after=")
	buf.Discard(size)
	return true, err
}

// appendCall appends a request of the application as a call.
func (a *Application) appendCall(dst []byte, k *operation) []byte {
	var w thrift.Writer
	w.BeginMessage(dst, a.day.Protocol.encoding(), thrift.Call, a.day.Classes[k.class].Name, int32(k.request))
	w.FieldHeader(thrift.String, argID)
	w.String(string(appendID(nil, k.request)))
	if k.idempotencyKey != 0 {
		w.FieldHeader(thrift.String, argKey)
		w.String(string(appendID(nil, k.idempotencyKey)))
	}
	w.FieldHeader(thrift.I64, argTimeout)
	w.I64(max(1, int64((k.requestDeadline-a.net.Now())*1e6)))
	if k.requests > 1 && a.spec.MarksRetries {
		w.FieldHeader(thrift.Bool, argRetry)
		w.Bool(true)
	}
	w.FieldHeader(thrift.String, argBody)
	w.Bytes(a.body[:k.bodySize])
	return w.EndMessage()
}

// heard is what a box has read of a request.
type receivedRequest struct {
	class    string // or what stands in its place
	path     string
	id       string
	key      string
	isThrift bool
	message  thrift.Message // its head, of Thrift; its name lies in name
	name     string
}

var callPaths = []thrift.Path{{argID}, {argKey}}

// hear reads on from what a sidecar has sent and tells whether a request is whole.
func (k *serverConn) nextRequest() (bool, error) {
	if b := k.buf.Bytes(); len(b) > 0 && b[0] == 0 && !k.parser.HasBegun() {
		return k.nextThriftRequest()
	}
	whole, err := k.parser.Next(&k.buf)
	if whole {
		k.request = receivedRequest{id: k.parser.Header.Get(fieldID), key: k.parser.Header.Get(fieldKey)}
		k.request.class, k.request.path = splitTarget(k.parser.Target)
	}
	return whole, err
}

func (k *serverConn) nextThriftRequest() (bool, error) {
	payload, size, err := thrift.CutFrame(k.buf.Bytes(), messageLimits.BufferedBodyBytes)
	if err != nil || size == 0 {
		return false, err
	}
	m, err := thrift.ParseMessage(payload)
	if err != nil {
		return false, err
	}
	var found [thrift.MaxPaths]thrift.Value
	if err := m.Find(callPaths, &found); err != nil {
		return false, err
	}
	k.request = receivedRequest{id: string(found[0].Bytes), key: string(found[1].Bytes), isThrift: true, name: string(m.Name)}
	k.request.class, k.request.path = k.request.name, k.request.name
	if k.request.name == ThriftProbe {
		k.request.path = "/status/load"
	}
	k.request.message = thrift.Message{Encoding: m.Encoding, Seq: m.Seq}
	k.buf.Discard(size)
	return true, nil
}

// appendAnswer appends an answer to the request that was read last. Over Thrift its header fields have no place, but for the
// word that it has not begun.
func (k *serverConn) appendResponse(dst []byte, status int, h http1.Header, body []byte) []byte {
	if !k.request.isThrift {
		return http1.AppendResponse(dst, status, h, body)
	}
	m := &k.request.message
	switch status {
	case http.StatusOK:
		var w thrift.Writer
		w.BeginMessage(dst, m.Encoding, thrift.Reply, k.request.name, m.Seq)
		w.FieldHeader(thrift.String, 0)
		w.Bytes(body)
		return w.EndMessage()
	case http.StatusServiceUnavailable:
		return thrift.AppendException(dst, m.Encoding, k.request.name, m.Seq, thrift.LoadShedding, "not started")
	default:
		return thrift.AppendException(dst, m.Encoding, k.request.name, m.Seq, thrift.InternalError, strconv.Itoa(status))
	}
}

// spoilThrift appends a reply that nobody can take for whole, and tells whether the connection is closed behind it.
func (l *serverProcess) appendMalformedReply(k *serverConn, out, body []byte) (_ []byte, closes bool) {
	sound := k.appendResponse(nil, 200, nil, body)
	m := &k.request.message
	switch l.rng.IntN(malformedKinds) {
	case malformedNoise:
		return l.appendNoise(out, 20+l.rng.IntN(400)), false
	case malformedHead:
		return append(out, 0, 0, 0, 9, 0x80, 7, 0, 2, 0, 0, 0, 0, 0), false
	case malformedEndlessHead: // a frame above the bound that goes on
		out = append(out, 0, 1, 0, 1, 0x80)
		return append(out, make([]byte, l.rng.IntN(40<<10))...), false
	case malformedTooLong: // the frame names more than comes
		out = append(out, sound...)
		out[3]++
		return out, l.rng.IntN(2) == 0
	case malformedNegativeLength:
		return append(append(out, 0xff), sound[1:]...), false
	case malformedTwoLengths: // the reply to another call
		m.Seq++
		return k.appendResponse(out, 200, nil, body), false
	case malformedHuge: // a string that names more than the frame has
		var w thrift.Writer
		w.BeginMessage(out, m.Encoding, thrift.Reply, k.request.name, m.Seq)
		w.FieldHeader(thrift.String, 0)
		w.I32(1 << 30)
		return w.EndMessage(), false
	default:
		return append(out, sound[:l.rng.IntN(len(sound))]...), true
	}
}

// bad sends what no Thrift port may take for a call, and tells whether a client of this kind has such a thing; others send it
// what belongs to HTTP. What is hidden or half must never run: it has ids that nobody has asked with.
func (m *HostileClients) sendMalformedCall(v *hostileConn, now float64, class string) bool {
	call := func(dst []byte, name string, patience int64) []byte {
		var w thrift.Writer
		w.BeginMessage(dst, m.day.Protocol.encoding(), thrift.Call, name, 1)
		w.FieldHeader(thrift.String, argID)
		w.String(string(appendID(nil, m.rng.Uint64()|1)))
		w.FieldHeader(thrift.I64, argTimeout)
		w.I64(patience)
		return w.EndMessage()
	}
	out := m.out[:0]
	switch v.kind {
	case sendsNegativeLength:
		out = append(call(out, class, 1e6), 0xff, 0xff, 0xff, 0xff)
		copy(out, out[len(out)-4:])
	case sendsHugeBody:
		out = append(out, hugeBody>>24, hugeBody>>16&0xff, hugeBody>>8&0xff, hugeBody&0xff, 0x82)
		m.tasks.add(now, hostileTask{conn: v})
	case sendsEndlessHead: // a frame that goes on for as long as it may
		out = append(out, 0, 0, 0xff, 0xff, 0x82, 0x21)
		m.tasks.add(now, hostileTask{conn: v})
	case requestsUnknownClass:
		out = call(out, "no-such-method", 1e6)
	case requestsOddDeadline:
		out = call(out, class, -1)
	case requestsHalf:
		out = call(out, class, 1e6)
		out = out[:len(out)/2]
		m.tasks.add(now+m.rng.Float64(), hostileTask{conn: v, closes: true})
	case smugglesRequest: // in the same frame
		out = call(out, class, 1e6)
		out = call(out, class, 1e6)
		out[2], out[3] = byte((len(out)-4)>>8), byte(len(out)-4)
	default:
		return false
	}
	m.out = out
	v.conn.Write(out) // a connection that breaks here is closed by the network
	return true
}

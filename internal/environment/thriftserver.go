package environment

import (
	"net/http"
	"strconv"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/thrift"
)

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

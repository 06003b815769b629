package environment

import (
	"net/http"
	"strconv"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/thrift"
)

// receivedRequest is what a server has read of a request.
type receivedRequest struct {
	class    string // the first segment of the target, or the method
	path     string
	id       string
	key      string
	isThrift bool
	message  thrift.Message // the head of a Thrift call; its name is in name
	name     string
}

var callPaths = []thrift.Path{{argID}, {argKey}}

// nextRequest parses on what a sidecar has sent and reports whether a request is complete.
func (c *serverConn) nextRequest() (bool, error) {
	if b := c.buf.Bytes(); len(b) > 0 && b[0] == 0 && !c.parser.HasBegun() {
		return c.nextThriftRequest()
	}
	isComplete, err := c.parser.Next(&c.buf)
	if isComplete {
		c.request = receivedRequest{id: c.parser.Header.Get(fieldID), key: c.parser.Header.Get(fieldKey)}
		c.request.class, c.request.path = splitTarget(c.parser.Target)
	}
	return isComplete, err
}

// nextThriftRequest is nextRequest for Thrift.
func (c *serverConn) nextThriftRequest() (bool, error) {
	payload, size, err := thrift.CutFrame(c.buf.Bytes(), messageLimits.BufferedBodyBytes)
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
	c.request = receivedRequest{id: string(found[0].Bytes), key: string(found[1].Bytes), isThrift: true, name: string(m.Name)}
	c.request.class, c.request.path = c.request.name, c.request.name
	if c.request.name == ThriftProbe {
		c.request.path = "/status/load"
	}
	c.request.message = thrift.Message{Encoding: m.Encoding, Seq: m.Seq}
	c.buf.Discard(size)
	return true, nil
}

// appendResponse appends an answer to the last request. Thrift has no place for header fields, except for the statement that
// the request was not started.
func (c *serverConn) appendResponse(dst []byte, status int, h http1.Header, body []byte) []byte {
	if !c.request.isThrift {
		return http1.AppendResponse(dst, status, h, body)
	}
	m := &c.request.message
	switch status {
	case http.StatusOK:
		var observer thrift.Writer
		observer.BeginMessage(dst, m.Encoding, thrift.Reply, c.request.name, m.Seq)
		observer.FieldHeader(thrift.String, 0)
		observer.Bytes(body)
		return observer.EndMessage()
	case http.StatusServiceUnavailable:
		return thrift.AppendException(dst, m.Encoding, c.request.name, m.Seq, thrift.LoadShedding, "not started")
	default:
		return thrift.AppendException(dst, m.Encoding, c.request.name, m.Seq, thrift.InternalError, strconv.Itoa(status))
	}
}

// appendMalformedReply appends a reply that can't be parsed completely, and reports whether the connection is closed after it.
func (p *serverProcess) appendMalformedReply(conn *serverConn, out, body []byte) (_ []byte, closes bool) {
	sound := conn.appendResponse(nil, 200, nil, body)
	m := &conn.request.message
	switch p.rng.IntN(malformedKinds) {
	case malformedNoise:
		return p.appendNoise(out, 20+p.rng.IntN(400)), false
	case malformedHead:
		return append(out, 0, 0, 0, 9, 0x80, 7, 0, 2, 0, 0, 0, 0, 0), false
	case malformedEndlessHead: // a frame above the size limit
		out = append(out, 0, 1, 0, 1, 0x80)
		return append(out, make([]byte, p.rng.IntN(40<<10))...), false
	case malformedTooLong: // the frame's length exceeds its bytes
		out = append(out, sound...)
		out[3]++
		return out, p.rng.IntN(2) == 0
	case malformedNegativeLength:
		return append(append(out, 0xff), sound[1:]...), false
	case malformedTwoLengths: // the reply to another call
		m.Seq++
		return conn.appendResponse(out, 200, nil, body), false
	case malformedHuge: // a string's length exceeds the frame
		var observer thrift.Writer
		observer.BeginMessage(out, m.Encoding, thrift.Reply, conn.request.name, m.Seq)
		observer.FieldHeader(thrift.String, 0)
		observer.I32(1 << 30)
		return observer.EndMessage(), false
	default:
		return append(out, sound[:p.rng.IntN(len(sound))]...), true
	}
}

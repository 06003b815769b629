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

// clientConn is a client connection that speaks Thrift. Pipelined calls wait in its buffer and in the socket: they are answered in order,
// one at a time, as by the servers of the Apache libraries.
type clientConn struct {
	sidecar.ClientConn
	frontend *Frontend
	message  thrift.Message // of the current call, or of the last one
}

// ReadRequest implements sidecar.ClientCodec. The message refers to the buffer's memory, which stays valid until HandleRequest:
// no bytes are received in between.
func (c *clientConn) ReadRequest(buf *buffer.Buffer) (bool, error) {
	payload, size, err := thrift.CutFrame(buf.Bytes(), maxFrameBytes)
	if err != nil || size == 0 {
		return false, err
	}
	if c.message, err = thrift.ParseMessage(payload); err != nil {
		return false, err
	}
	buf.Discard(size)
	return true, nil
}

// ReadBody implements sidecar.ClientCodec. It is never called: messages are submitted completely.
func (c *clientConn) ReadBody(*buffer.Buffer) error { return nil }

// PartialRequest implements sidecar.ClientCodec. Nothing is held: a message stays in the buffer until it is complete.
func (c *clientConn) PartialRequest() (held int, begun bool) { return 0, false }

// RejectMalformed implements sidecar.ClientCodec. The connection is closed without a response, since a message that can't be parsed has
// no sequence number for it.
func (c *clientConn) RejectMalformed(err error) {
	if errors.Is(err, sidecar.ErrRequestTimeout) {
		c.CloseUnanswered("connections closed: calls did not arrive in time")
		return
	}
	c.CloseUnanswered("connections at the Thrift port are closed that speak no framed Thrift: " + err.Error())
}

// HandleRequest implements sidecar.ClientCodec: it submits or answers a call.
func (c *clientConn) HandleRequest() {
	m := &c.message
	c.SetKeepAlive(true)
	if m.Kind != thrift.Call && m.Kind != thrift.Oneway {
		c.rejectAndClose(thrift.InvalidKind, "a message that is no call")
		return
	}
	class := c.frontend.methods[string(m.Name)]
	var paths []thrift.Path
	if class != nil {
		paths = class.paths
	}
	var found [thrift.MaxPaths]thrift.Value
	if err := m.Find(paths, &found); err != nil {
		c.rejectAndClose(thrift.ProtocolError, err.Error())
		return
	}
	if class == nil {
		c.reject(thrift.UnknownMethod, "no method that is known here")
		return
	}
	c.submit(class, found[0], found[1], found[2], found[3].Int != 0)
}

// submit validates and submits a call of a class. id, key and timeout are values of its arguments.
func (c *clientConn) submit(class *class, id, key, timeout thrift.Value, isRetry bool) {
	in := sidecar.IncomingRequest{
		Class:          class.index,
		Tenant:         sidecar.UnknownTenant,
		TimeoutSeconds: class.TotalTimeoutSeconds,
		HeldBytes:      len(c.message.Raw),
		IsRetry:        isRetry,
		IsOneWay:       c.message.Kind == thrift.Oneway,
	}
	if timeout.Type != thrift.Stop {
		var ok bool
		if in.TimeoutSeconds, ok = parseSeconds(timeout, class.UnitS); !ok {
			c.reject(thrift.ProtocolError, "a patience that is no number from 0")
			return
		}
	}
	if len(id.Bytes) > maxIDBytes {
		c.reject(thrift.ProtocolError, "an id of more than 256 bytes")
		return
	}
	if in.ID = idText(id); in.ID == "" {
		in.ID = c.frontend.generateID()
	}
	if c.Sidecar().IsRequestOpen(in.ID) {
		c.reject(thrift.InternalError, "its id is that of an open call")
		return
	}
	// Without an idempotency key the servers can't recognize a repeated call, even if the class says that they do.
	in.AtMostOnce = class.Effect == policy.Keyed && len(key.Bytes) == 0 && key.Int == 0
	if c.Admit(class.index) {
		call := newCall(c.frontend, c.message)
		c.message, in.Call = call.message, call
		c.Submit(in)
	}
}

// maxIDBytes limits the length of an ID, since the capture and the log repeat it many times.
const maxIDBytes = 256

// idText returns an ID as printable text without spaces, in hexadecimal if need be; empty: there is none.
func idText(id thrift.Value) string {
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

// parseSeconds converts a number of units to seconds; false: it is not a number, or it is out of range.
func parseSeconds(v thrift.Value, unitSeconds float64) (float64, bool) {
	n := float64(v.Int)
	switch v.Type {
	case thrift.Double:
		n = v.Double
	case thrift.I16, thrift.I32, thrift.I64:
	default:
		return 0, false
	}
	return n * unitSeconds, n >= 0 && n < 1e15
}

// reject responds to a call with an exception, without submitting it, and counts it as malformed.
func (c *clientConn) reject(kind thrift.ExceptionType, reason string) {
	c.CountMalformed()
	c.respondException(kind, reason)
}

// rejectAndClose responds to a malformed message and closes the connection.
func (c *clientConn) rejectAndClose(kind thrift.ExceptionType, reason string) {
	c.SetKeepAlive(false)
	c.reject(kind, reason)
}

package thrift

import (
	"bytes"

	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/thrift"
)

// call is a client's call. It holds a copy of the message, since it can outlive the client's connection.
type call struct {
	frontend *Frontend
	message  thrift.Message
}

// newCall returns the call for a message, which it copies out of the connection's buffer.
func newCall(f *Frontend, m thrift.Message) *call {
	c := &call{frontend: f}
	raw := append([]byte(nil), m.Raw...)
	c.message = m.WithRaw(raw)
	return c
}

var _ sidecar.CostReporter = (*exchange)(nil)

// NewExchange implements sidecar.Call.
func (c *call) NewExchange() sidecar.Exchange { return &exchange{call: c} }

// methodName returns a method's name without the prefix "Service:" of a multiplexed call.
func methodName(name []byte) []byte { return name[bytes.IndexByte(name, ':')+1:] }

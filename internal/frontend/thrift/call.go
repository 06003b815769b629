package thrift

import (
	"bytes"

	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/thrift"
)

// call is a client's call, in memory of its own: it outlives its connection.
type call struct {
	frontend *Frontend
	message  thrift.Message
}

// newCall copies a message from a connection's buffer.
func newCall(f *Frontend, m thrift.Message) *call {
	c := &call{frontend: f}
	raw := append([]byte(nil), m.Raw...)
	c.message = m.WithRaw(raw)
	return c
}

var _ sidecar.CostReporter = (*exchange)(nil)

// NewExchange implements sidecar.Call.
func (c *call) NewExchange() sidecar.Exchange { return &exchange{call: c} }

// methodName returns a method's name without that of its service.
func methodName(name []byte) []byte { return name[bytes.IndexByte(name, ':')+1:] }

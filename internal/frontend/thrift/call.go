package thrift

import (
	"bytes"

	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/thrift"
)

// call is what a client has asked for, in memory of its own: it outlives its link.
type call struct {
	front   *Frontend
	message thrift.Message
}

// newCall takes over a message that lies in a link's buffer.
func newCall(f *Frontend, m thrift.Message) *call {
	c := &call{front: f}
	raw := append([]byte(nil), m.Raw...)
	c.message = m.WithRaw(raw)
	return c
}

var _ sidecar.CostReporter = (*exchange)(nil)

func (c *call) NewExchange() sidecar.Exchange { return &exchange{call: c} }

// bare returns a method's name without its service's.
func methodName(name []byte) []byte { return name[bytes.IndexByte(name, ':')+1:] }

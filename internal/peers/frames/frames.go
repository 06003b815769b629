// Package frames is what goes over a link between sidecars: frames of four bytes of length, one of the version, one of the
// topic, and a body in MessagePack, whose fields are named: who does not know one skips it. docs/design/peers.md has the
// topics. The package knows no sockets; whoever stands between two sidecars can read along with it.
package frames

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/msgpacklimit"
)

// Version is spoken here. A frame of another is not understood.
const Version = 1

// MaxFrameBytes bounds a frame with its head, in bytes.
const MaxFrameBytes = 64 << 10

// HeaderBytes is the length of a frame's head.
const HeaderBytes = 6

// Topic says what a body is about.
type Topic byte

// The topics.
const (
	TopicHello      Topic = 1 // Hello: the first frame of each end
	TopicMembership Topic = 2 // who is there
	TopicLease      Topic = 3 // who does what on behalf of all
	TopicRole       Topic = 4 // Effect: what an owner does, and what is said to it
)

// RoleMessage is something done or said under a grant. Whoever takes one keeps the greatest token of each job that it has seen, and
// turns lower ones away.
type RoleMessage struct {
	Role     string `msgpack:"j"`
	Token    uint64 `msgpack:"t"`
	Origin   uint64 `msgpack:"o"`           // the member that began it
	Sequence uint64 `msgpack:"n,omitempty"` // of the token's effects, from 1; each goes to all, once. 0: it is for one link alone
	Kind     uint8  `msgpack:"k,omitempty"` // the job's, from 1
	Body     []byte `msgpack:"b,omitempty"`
}

// KindRejected is the answer to an effect whose token is too low: Token is the greatest that is known.
const KindRejected uint8 = 0

// Hello is the first thing that each end of a link says. Name is enough for who reads along.
type Hello struct {
	Fleet   string `msgpack:"f"`
	Name    string `msgpack:"n"` // of the sidecar
	ID      uint64 `msgpack:"i"`
	Address string `msgpack:"a"` // where the sidecar is dialed
	Body    []byte `msgpack:"b,omitempty"`
}

var (
	// ErrTooLong is the fault of a frame that says it is longer than Most.
	ErrTooLong = errors.New("a frame is longer than allowed")
	// ErrVersion is the fault of a frame of another version.
	ErrVersion = errors.New("a frame is of a version that is not spoken here")
)

// Next returns the first whole frame of what has come: its topic, its body and its whole length; 0: there is none yet.
func Next(data []byte) (topic Topic, body []byte, length int, err error) {
	if len(data) < 4 {
		return 0, nil, 0, nil
	}
	n := binary.BigEndian.Uint32(data)
	if n > MaxFrameBytes-4 {
		return 0, nil, 0, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	if len(data) >= 5 && data[4] != Version {
		return 0, nil, 0, fmt.Errorf("%w: %d", ErrVersion, data[4])
	}
	if n < 2 {
		return 0, nil, 0, fmt.Errorf("%w: no head", ErrVersion)
	}
	if length = 4 + int(n); len(data) < length {
		return 0, nil, 0, nil
	}
	return Topic(data[5]), data[HeaderBytes:length], length, nil
}

// Append appends a frame. A body that is too long is ErrLong, and nothing is appended.
func Append(dst []byte, topic Topic, body []byte) ([]byte, error) {
	if len(body)+HeaderBytes > MaxFrameBytes {
		return dst, fmt.Errorf("%w: %d bytes", ErrTooLong, len(body))
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+2))
	return append(append(dst, Version, byte(topic)), body...), nil
}

// Marshal returns a value as a body.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal reads a body into a value. What a body holds beyond the value's fields is skipped.
func Unmarshal(body []byte, v any) (err error) {
	// Danger: a body comes from outside; the loop must outlive what a library makes of it.
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("a body can't be read: %v", cause)
		}
	}()
	if err := msgpacklimit.Whole(body); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, v)
}

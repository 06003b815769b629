// Package frames is the wire format between sidecars. A frame has four bytes of length, one byte of version, one byte of topic, and a body in
// MessagePack with named fields. A receiver skips fields and topics that it does not know, so that program versions can differ.
// docs/design/peers.md describes the topics. The package has no state and no sockets, so that a proxy between two sidecars can use it, too.
package frames

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/msgpacklimit"
)

// Version is the version of the frames. Frames of another version are an error.
const Version = 1

const (
	// MaxFrameBytes limits a frame with its header.
	MaxFrameBytes = 64 << 10
	// HeaderBytes is the length of a frame's header.
	HeaderBytes = 6
	// lengthBytes is the length of the length field, which does not count itself.
	lengthBytes = 4
)

// Topic is the kind of a frame's body.
type Topic byte

// The topics, with their numbers on the wire.
const (
	TopicHello      Topic = 1 // Hello, the first frame of each end
	TopicMembership Topic = 2 // swim.Message
	TopicLease      Topic = 3 // lease.Message
	TopicRole       Topic = 4 // RoleMessage
)

// RoleMessage is a message of a singleton role, sent under the fencing token of the role's lease. A receiver keeps the greatest token
// that it has seen of each role, and rejects messages of lower ones.
type RoleMessage struct {
	Role     string `msgpack:"j"`
	Token    uint64 `msgpack:"t"`
	Origin   uint64 `msgpack:"o"`           // ID of the member that created the message
	Sequence uint64 `msgpack:"n,omitempty"` // from 1, counts the messages under this token that go to all members, each of which is flooded once; 0: for one link only
	Kind     uint8  `msgpack:"k,omitempty"` // defined by the role, from 1; or KindRejected
	Body     []byte `msgpack:"b,omitempty"`
}

// KindRejected is the kind of the answer to a message whose token is too low. The answer's Token is the greatest that the receiver knows.
const KindRejected uint8 = 0

// Hello is the first frame of each end of a link. A proxy between two sidecars identifies the sender by Name.
type Hello struct {
	Fleet   string `msgpack:"f"`
	Name    string `msgpack:"n"`           // of the sidecar
	ID      uint64 `msgpack:"i"`           // of the member; 0: not a member yet
	Address string `msgpack:"a"`           // the address that peers dial
	Body    []byte `msgpack:"b,omitempty"` // a swim.Hello
}

var (
	// ErrTooLong is the error of a frame that is longer than MaxFrameBytes.
	ErrTooLong = errors.New("a frame is longer than allowed")
	// ErrVersion is the error of a frame of another version.
	ErrVersion = errors.New("a frame is of a version that is not spoken here")
)

// Next returns the first frame of received data: its topic, its body, which is part of data, and its length with the header. The
// length is 0 if the frame is not complete yet. The error wraps ErrTooLong or ErrVersion.
func Next(data []byte) (topic Topic, body []byte, length int, err error) {
	if len(data) < lengthBytes {
		return 0, nil, 0, nil
	}
	n := binary.BigEndian.Uint32(data)
	if n > MaxFrameBytes-lengthBytes {
		return 0, nil, 0, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	if len(data) > lengthBytes && data[lengthBytes] != Version {
		return 0, nil, 0, fmt.Errorf("%w: %d", ErrVersion, data[lengthBytes])
	}
	if n < HeaderBytes-lengthBytes {
		return 0, nil, 0, fmt.Errorf("%w: incomplete header", ErrVersion)
	}
	if length = lengthBytes + int(n); len(data) < length {
		return 0, nil, 0, nil
	}
	return Topic(data[lengthBytes+1]), data[HeaderBytes:length], length, nil
}

// Append appends a frame to dst. If the body is too long it appends nothing and returns an error that wraps ErrTooLong.
func Append(dst []byte, topic Topic, body []byte) ([]byte, error) {
	if len(body)+HeaderBytes > MaxFrameBytes {
		return dst, fmt.Errorf("%w: %d bytes", ErrTooLong, len(body))
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+HeaderBytes-lengthBytes))
	return append(append(dst, Version, byte(topic)), body...), nil
}

// Marshal encodes a value as a body.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal decodes a body into a value. Fields that the value does not have are skipped.
func Unmarshal(body []byte, v any) (err error) {
	// Danger: the body comes from a peer, and the event loop must survive a panic of the decoder.
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("a body can't be decoded: %v", cause)
		}
	}()
	if err := msgpacklimit.Whole(body); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, v)
}

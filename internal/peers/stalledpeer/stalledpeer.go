// Package stalledpeer has what somebody says who calls at a sidecar as a peer does, asks what it knows, and reads nothing. It is for
// those who try sidecars.
package stalledpeer

import (
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

const (
	name = "deaf"
	id   = 3
	sums = 64
)

// Frames returns the hello to a fleet's sidecar at an address, and the question that asks for all that it knows.
func Frames(fleet, address string) (hello, ask []byte, err error) {
	self := swim.Record{ID: id, Version: swim.Version{Incarnation: 1 << 32, BootID: id}, Name: name, Address: address}
	inner, err := frames.Marshal(swim.Hello{Self: self})
	if err != nil {
		return nil, nil, err
	}
	body, err := frames.Marshal(frames.Hello{Fleet: fleet, Name: name, ID: id, Address: address, Body: inner})
	if err != nil {
		return nil, nil, err
	}
	if hello, err = frames.Append(nil, frames.TopicHello, body); err != nil {
		return nil, nil, err
	}
	if body, err = frames.Marshal(swim.Message{BucketDigests: make([]uint64, sums)}); err != nil {
		return nil, nil, err
	}
	ask, err = frames.Append(nil, frames.TopicMembership, body)
	return hello, ask, err
}

// Package stalledpeer builds the frames of a misbehaving peer, which sends its hello to a sidecar, requests the whole membership and then reads
// nothing. Tests and simulations use it to check the limit on the data queued for a peer.
package stalledpeer

import (
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

// The identity that the peer claims, and the number of digests in its request. The digests are all 0, so they differ from those of the
// sidecar, which therefore sends all members.
const (
	name    = "deaf"
	id      = 3
	digests = 64
)

// Frames returns the hello for a sidecar of a fleet, with the address that the peer claims, and the request to send after it.
func Frames(fleet, address string) (hello, request []byte, err error) {
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
	if body, err = frames.Marshal(swim.Message{BucketDigests: make([]uint64, digests)}); err != nil {
		return nil, nil, err
	}
	request, err = frames.Append(nil, frames.TopicMembership, body)
	return hello, request, err
}

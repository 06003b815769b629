package message

import "hazelwheel/internal/decide/register"

// ConfigRequest asks a control process for a piece of a configuration's bytes.
type ConfigRequest struct {
	Digest register.Digest `msgpack:"d"`
	Offset int             `msgpack:"o"`
	Length int             `msgpack:"l"` // at most; 0: all
}

// ConfigReply holds the piece, and the size of the whole: 0 if it isn't there.
type ConfigReply struct {
	Data []byte `msgpack:"b"`
	Size int    `msgpack:"s"`
}

// Learn tells a control process of the value that was chosen last, and that it may fetch the configuration's bytes of the voters.
type LearnRequest struct {
	To        string          `msgpack:"t"` // the identity that is meant
	Ballot    register.Ballot `msgpack:"b"`
	Value     register.Value  `msgpack:"v"`
	MinBallot register.Ballot `msgpack:"s"` // of the value from which on what it holds is new enough; zero: At
}

// Learned answers Learn.
type LearnReply struct {
	UpToDate bool `msgpack:"h"` // what is on the disk, with the bytes of its configuration, is new enough
}

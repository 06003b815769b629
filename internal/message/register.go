package message

import "hazelwheel/internal/decide/register"

// ConfigRequest asks a control process for a chunk of a configuration's bytes.
type ConfigRequest struct {
	Digest register.Digest `msgpack:"d"` // of the configuration
	Offset int             `msgpack:"o"` // first byte of the chunk
	Length int             `msgpack:"l"` // maximum length; 0: up to the end
}

// ConfigReply holds the chunk.
type ConfigReply struct {
	Data []byte `msgpack:"b"`
	Size int    `msgpack:"s"` // of the complete configuration; 0: the sender does not have it
}

// LearnRequest brings the chosen value of the register to a control process that does not vote. A process without the bytes of the
// value's configuration fetches them from the voters after it has replied.
type LearnRequest struct {
	To        string          `msgpack:"t"` // identity of the receiver's disk; another one rejects the request
	Ballot    register.Ballot `msgpack:"b"` // at which Value was chosen
	Value     register.Value  `msgpack:"v"`
	MinBallot register.Ballot `msgpack:"s"` // the receiver counts as up to date from this ballot on; zero: from Ballot on
}

// LearnReply answers a LearnRequest.
type LearnReply struct {
	// UpToDate says that the value on disk, with its configuration's bytes, is of MinBallot or later, and of the first value or a later one
	// that the receiver has found chosen itself since it started.
	UpToDate bool `msgpack:"h"`
}

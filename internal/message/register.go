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

// LearnRequest sends the chosen value of the register to a control process that does not vote. If the receiver lacks the bytes of the
// value's configuration, it fetches them from the voters after it has replied.
type LearnRequest struct {
	To        string          `msgpack:"t"` // identity of the receiver's disk; a process with another one rejects the request
	Ballot    register.Ballot `msgpack:"b"` // at which Value was chosen
	Value     register.Value  `msgpack:"v"`
	MinBallot register.Ballot `msgpack:"s"` // the receiver is up to date if its value is of this ballot or later; zero: of Ballot
}

// LearnReply answers a LearnRequest.
type LearnReply struct {
	// UpToDate says that the value on disk, whose configuration's bytes are there too, is of MinBallot or later, and is not older than the
	// first value that the receiver itself has found chosen since it started.
	UpToDate bool `msgpack:"h"`
}

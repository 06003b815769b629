package register

// PrepareRequest is the message of Paxos's first phase: it asks a voter to promise a ballot.
type PrepareRequest struct {
	To     string `msgpack:"t"` // identity of the voter; another one rejects the request
	Ballot Ballot `msgpack:"b"`
}

// PrepareReply is the reply to PrepareRequest and ReadRequest.
type PrepareReply struct {
	OK         bool   `msgpack:"k"`
	WrongVoter bool   `msgpack:"s"` // rejected because the receiver has another identity
	Promised   Ballot `msgpack:"p"` // the promised ballot; where OK is false, the one that the request lost to
	Accepted   Ballot `msgpack:"b"` // the ballot of Value; zero if the voter has accepted nothing
	Value      Value  `msgpack:"v"`
}

// AcceptRequest is the message of Paxos's second phase: it asks a voter to accept a value.
type AcceptRequest struct {
	To         string `msgpack:"t"` // identity of the voter; another one rejects the request
	Ballot     Ballot `msgpack:"b"`
	Value      Value  `msgpack:"v"`
	ConfigData []byte `msgpack:"c"` // the bytes of Value's configuration, where the voter may lack them; else empty
}

// AcceptReply is the reply to AcceptRequest.
type AcceptReply struct {
	OK          bool   `msgpack:"k"`
	WrongVoter  bool   `msgpack:"s"` // rejected because the receiver has another identity
	NeedsConfig bool   `msgpack:"n"` // not accepted: the request has to be repeated with ConfigData
	Promised    Ballot `msgpack:"p"` // the promised ballot; where OK is false, the one that the request lost to
}

// ReadRequest asks a voter for its accepted value. The reply is a PrepareReply.
type ReadRequest struct {
	To string `msgpack:"t"` // identity of the voter; another one rejects the request
}

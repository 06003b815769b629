package register

// PrepareRequest is the request of the first phase of Paxos: it asks a voter to promise a ballot.
type PrepareRequest struct {
	To     string `msgpack:"t"` // identity of the voter; another one rejects the request
	Ballot Ballot `msgpack:"b"`
}

// PrepareReply is the reply to PrepareRequest and ReadRequest.
type PrepareReply struct {
	OK         bool   `msgpack:"k"`
	WrongVoter bool   `msgpack:"s"` // rejected because the receiver has another identity
	Promised   Ballot `msgpack:"p"` // the highest promised ballot; if OK is false, the request lost to it
	Accepted   Ballot `msgpack:"b"` // the ballot at which Value was accepted; zero if the voter has accepted nothing
	Value      Value  `msgpack:"v"`
}

// AcceptRequest is the request of the second phase of Paxos: it asks a voter to accept a value.
type AcceptRequest struct {
	To         string `msgpack:"t"` // identity of the voter; another one rejects the request
	Ballot     Ballot `msgpack:"b"`
	Value      Value  `msgpack:"v"`
	ConfigData []byte `msgpack:"c"` // the bytes of Value's configuration if the voter may lack them, else empty
}

// AcceptReply is the reply to AcceptRequest.
type AcceptReply struct {
	OK          bool   `msgpack:"k"`
	WrongVoter  bool   `msgpack:"s"` // rejected because the receiver has another identity
	NeedsConfig bool   `msgpack:"n"` // not accepted: the request must be repeated with ConfigData
	Promised    Ballot `msgpack:"p"` // the highest promised ballot; if OK is false, the request lost to it
}

// ReadRequest asks a voter for its accepted value. The reply is a PrepareReply.
type ReadRequest struct {
	To string `msgpack:"t"` // identity of the voter; another one rejects the request
}

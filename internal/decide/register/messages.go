package register

// PrepareRequest asks a voter to promise a ballot. The voter whose identity is not To turns it away.
type PrepareRequest struct {
	To     string `msgpack:"t"`
	Ballot Ballot `msgpack:"b"`
}

// PrepareReply answers Prepare and Read. Where OK is false, Promised is the ballot that stands in the way.
type PrepareReply struct {
	OK         bool   `msgpack:"k"`
	WrongVoter bool   `msgpack:"s"` // the voter has another identity
	Promised   Ballot `msgpack:"p"`
	Accepted   Ballot `msgpack:"b"` // the accepted ballot
	Value      Value  `msgpack:"v"`
}

// AcceptRequest asks a voter to accept a value. Config holds the configuration's bytes where the voter may lack them.
type AcceptRequest struct {
	To         string `msgpack:"t"`
	Ballot     Ballot `msgpack:"b"`
	Value      Value  `msgpack:"v"`
	ConfigData []byte `msgpack:"c"`
}

// AcceptReply answers Accept.
type AcceptReply struct {
	OK          bool   `msgpack:"k"`
	WrongVoter  bool   `msgpack:"s"`
	NeedsConfig bool   `msgpack:"n"` // the voter lacks the configuration's bytes
	Promised    Ballot `msgpack:"p"`
}

// ReadRequest asks a voter for its accepted value.
type ReadRequest struct {
	To string `msgpack:"t"`
}

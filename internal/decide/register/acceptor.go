package register

// State is what a voter keeps on its disk.
type State struct {
	ID       string `msgpack:"i"`
	Promised Ballot `msgpack:"p"`
	Accepted Ballot `msgpack:"b"`
	Value    Value  `msgpack:"v"`
}

// Acceptor is a voter's state machine. Each method returns the state that must be on disk before the answer is sent, nil
// where nothing changes; the host calls Stored once it is there.
type Acceptor struct {
	state State
}

// NewAcceptor returns an acceptor that goes on from what the disk holds.
func NewAcceptor(state State) *Acceptor { return &Acceptor{state} }

// State returns what is on disk.
func (a *Acceptor) State() State { return a.state }

// MarkPersisted tells that a state that a method has returned is on disk.
func (a *Acceptor) MarkPersisted(state State) { a.state = state }

// HandlePrepare promises a ballot that is above all promised before.
func (a *Acceptor) HandlePrepare(request PrepareRequest) (*State, PrepareReply) {
	if request.To != a.state.ID {
		return nil, PrepareReply{WrongVoter: true}
	}
	if request.Ballot.Compare(a.state.Promised) < 0 {
		return nil, PrepareReply{Promised: a.state.Promised}
	}
	answer := PrepareReply{OK: true, Promised: request.Ballot, Accepted: a.state.Accepted, Value: a.state.Value}
	if request.Ballot == a.state.Promised {
		return nil, answer
	}
	next := a.state
	next.Promised = request.Ballot
	return &next, answer
}

// HandleAccept accepts a value unless a higher ballot was promised. hasConfig tells whether the configuration's bytes are on
// disk or come with the request.
func (a *Acceptor) HandleAccept(request AcceptRequest, hasConfig bool) (*State, AcceptReply) {
	if request.To != a.state.ID {
		return nil, AcceptReply{WrongVoter: true}
	}
	if request.Ballot.Compare(a.state.Promised) < 0 {
		return nil, AcceptReply{Promised: a.state.Promised}
	}
	if !hasConfig && request.Value.ConfigVersion != 0 {
		return nil, AcceptReply{NeedsConfig: true}
	}
	answer := AcceptReply{OK: true, Promised: request.Ballot}
	if request.Ballot == a.state.Accepted {
		return nil, answer
	}
	next := a.state
	next.Promised, next.Accepted, next.Value = request.Ballot, request.Ballot, request.Value
	return &next, answer
}

// HandleRead tells the accepted value. It promises nothing.
func (a *Acceptor) HandleRead(request ReadRequest) PrepareReply {
	if request.To != a.state.ID {
		return PrepareReply{WrongVoter: true}
	}
	return PrepareReply{OK: true, Promised: a.state.Promised, Accepted: a.state.Accepted, Value: a.state.Value}
}

// HandleLearn takes a value that was chosen at a ballot, which counts as promised from then on. It may be told of a ballot below the
// promised one: whoever was promised more has met the value at one of those that accepted it. hasConfig is as for HandleAccept. It returns
// whether the voter holds the value, or a later one, once the state is on disk.
func (a *Acceptor) HandleLearn(at Ballot, value Value, hasConfig bool) (*State, bool) {
	if at.Compare(a.state.Accepted) <= 0 {
		return nil, true
	}
	if !hasConfig && value.ConfigVersion != 0 {
		return nil, false
	}
	next := a.state
	next.Accepted, next.Value = at, value
	if at.Compare(next.Promised) > 0 {
		// Danger: a voter never accepts a ballot below the one that its value has.
		next.Promised = at
	}
	return &next, true
}

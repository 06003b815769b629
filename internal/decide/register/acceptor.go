package register

// State is what a voter persists.
type State struct {
	ID       string `msgpack:"i"` // identity of the voter
	Promised Ballot `msgpack:"p"` // no lower ballot is promised or accepted
	Accepted Ballot `msgpack:"b"` // the ballot at which Value was accepted; zero if nothing was accepted
	Value    Value  `msgpack:"v"`
}

// Acceptor is the state machine of a voter. A handler that changes the state returns the next one, which the host must
// persist and confirm by MarkPersisted before it sends the reply; a nil state means that there is nothing to persist. Until
// MarkPersisted is called the acceptor keeps the previous state, so that after a failed write the host just sends no reply.
// At most one returned state may be unconfirmed at a time.
type Acceptor struct {
	state State
}

// NewAcceptor returns an acceptor with the state that was read from disk.
func NewAcceptor(state State) *Acceptor { return &Acceptor{state} }

// State returns the persisted state.
func (a *Acceptor) State() State { return a.state }

// MarkPersisted confirms that a state which a handler returned is on disk.
func (a *Acceptor) MarkPersisted(state State) { a.state = state }

// HandlePrepare promises the request's ballot unless a higher one was promised.
func (a *Acceptor) HandlePrepare(request PrepareRequest) (*State, PrepareReply) {
	if request.To != a.state.ID {
		return nil, PrepareReply{WrongVoter: true}
	}
	if request.Ballot.Compare(a.state.Promised) < 0 {
		return nil, PrepareReply{Promised: a.state.Promised}
	}
	reply := PrepareReply{OK: true, Promised: request.Ballot, Accepted: a.state.Accepted, Value: a.state.Value}
	if request.Ballot == a.state.Promised {
		return nil, reply
	}
	next := a.state
	next.Promised = request.Ballot
	return &next, reply
}

// HandleAccept accepts the request's value unless a higher ballot was promised. hasConfig says that the bytes of the value's
// configuration are on disk or come with the request; without them the value is not accepted.
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
	reply := AcceptReply{OK: true, Promised: request.Ballot}
	if request.Ballot == a.state.Accepted {
		return nil, reply
	}
	next := a.state
	next.Promised, next.Accepted, next.Value = request.Ballot, request.Ballot, request.Value
	return &next, reply
}

// HandleRead returns the accepted value. It promises nothing.
func (a *Acceptor) HandleRead(request ReadRequest) PrepareReply {
	if request.To != a.state.ID {
		return PrepareReply{WrongVoter: true}
	}
	return PrepareReply{OK: true, Promised: a.state.Promised, Accepted: a.state.Accepted, Value: a.state.Value}
}

// HandleLearn adopts a value that is known to be chosen at a ballot, without a proposal. hasConfig is as for HandleAccept.
// It returns whether the voter holds that value or a later one once the returned state is persisted.
//
// The ballot may be below the promised one. That is safe: the proposer of the promised ballot needs promises from a majority, and one
// of these voters has accepted the chosen value and reports it.
func (a *Acceptor) HandleLearn(chosenAt Ballot, value Value, hasConfig bool) (*State, bool) {
	if chosenAt.Compare(a.state.Accepted) <= 0 {
		return nil, true
	}
	if !hasConfig && value.ConfigVersion != 0 {
		return nil, false
	}
	next := a.state
	next.Accepted, next.Value = chosenAt, value
	if chosenAt.Compare(next.Promised) > 0 {
		// Danger: Promised must never be below Accepted, or a lower ballot could overwrite the learned value.
		next.Promised = chosenAt
	}
	return &next, true
}

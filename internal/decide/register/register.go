// Package register is a compare-and-swap register that is replicated on voters and changed in two quorum rounds, without a
// log and without a leader. It holds the state machines alone: a host sends, writes to disk and keeps time.
//
// A change prepares a ballot at a majority, learns the value of the highest accepted ballot, derives the next value from it
// and has it accepted by a majority. The set of voters is a part of the value. While it changes, the value names the old and
// the new voters and each round needs a majority of both.
package register

import (
	"cmp"
	"crypto/sha256"
	"slices"
)

// Ballot orders rounds. The zero Ballot is below all others.
type Ballot struct {
	Number   uint64 `msgpack:"r"`
	Proposer string `msgpack:"p"`
}

// Compare returns -1, 0 or 1 as b is below, equal to or above other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Proposer, other.Proposer))
}

// Digest names the bytes of a configuration.
type Digest [16]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(sum[:16])
}

// Voter is a replica: the identity that its disk holds, and where it is reached. A disk that was lost takes the identity with it.
type Voter struct {
	ID      string `msgpack:"i"`
	Address string `msgpack:"a"`
}

// Grant says who holds a singleton role. Token only grows.
type Grant struct {
	Role   string `msgpack:"r"`
	Holder string `msgpack:"h"`
	Token  uint64 `msgpack:"t"`
}

// Value is what the register holds.
type Value struct {
	Epoch           uint64   `msgpack:"e"` // counts changes of the voters
	Voters          []Voter  `msgpack:"v"`
	OutgoingVoters  []Voter  `msgpack:"o"` // the voters before, while both sets decide; else empty
	ConfigVersion   uint64   `msgpack:"n"` // of the configuration; 0: there is none yet
	ConfigDigest    Digest   `msgpack:"c"`
	AcceptedChanges []Digest `msgpack:"d"` // the configurations accepted last, the newest at the end
	Grants          []Grant  `msgpack:"g"`
}

// Clone returns a value that shares no memory with v.
func (v Value) Clone() Value {
	v.Voters, v.OutgoingVoters = slices.Clone(v.Voters), slices.Clone(v.OutgoingVoters)
	v.AcceptedChanges, v.Grants = slices.Clone(v.AcceptedChanges), slices.Clone(v.Grants)
	return v
}

// GrantFor returns who holds a role, the zero Grant if nobody ever did.
func (v *Value) GrantFor(role string) Grant {
	for _, grant := range v.Grants {
		if grant.Role == role {
			return grant
		}
	}
	return Grant{Role: role}
}

// AllVoters returns the voters of both sets, each once.
func (v *Value) AllVoters() []Voter { return union(v.Voters, v.OutgoingVoters) }

// HasQuorum tells whether a majority of the voters, and of those before while both decide, is in.
func (v *Value) HasQuorum(in func(Voter) bool) bool { return quorum(in, v.Voters, v.OutgoingVoters) }

func union(sets ...[]Voter) (all []Voter) {
	for _, set := range sets {
		for _, voter := range set {
			if !slices.Contains(all, voter) {
				all = append(all, voter)
			}
		}
	}
	return all
}

// quorum tells whether a majority of every set that isn't empty is in.
func quorum(in func(Voter) bool, sets ...[]Voter) bool {
	for _, set := range sets {
		count := 0
		for _, voter := range set {
			if in(voter) {
				count++
			}
		}
		if len(set) > 0 && count <= len(set)/2 {
			return false
		}
	}
	return true
}

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

package register

// Step is what a proposer wants of its host.
type Step struct {
	SendPrepare []Voter // to send Prepare to
	SendAccept  []Voter // to send Accept to
	SendConfig  []Voter // to send Accept to, with the configuration's bytes
	Done        bool
}

// Outcome says how a round has ended.
type Outcome int

// The outcomes of a round.
const (
	InProgress Outcome = iota
	Chosen             // Value holds, and is the change's
	Rejected           // Value holds, and the change does not go on top of it
	Confirmed          // Value holds now, which was not known before; the change was not made and may be tried again
	Undecided          // another ballot stands in the way; nothing is known of the change
	Abandoned          // the host has given it up; nothing is known of the change
)

// Change derives the next value. It returns false where it does not go on top of the current one.
type Change func(current Value) (next Value, ok bool)

// NoChange is the change that changes nothing: it makes sure that the value holds.
func NoChange(current Value) (Value, bool) { return current, true }

// Proposal is the proposer's state machine for one ballot.
type Proposal struct {
	Ballot          Ballot
	Outcome         Outcome
	Value           Value  // what holds, once the outcome is Chosen, Refused or Confirmed; what is proposed, while values are being accepted
	ChosenAt        Ballot // the ballot at which Value was chosen, once it holds
	HighestPromised Ballot // the highest ballot that stood in the way

	change    Change
	known     Value  // the voters to begin with
	proven    Ballot // a ballot at which a value is known to be chosen
	promises  map[Voter]PrepareReply
	asked     askedVoters
	proposing bool
	ending    Outcome   // of the round once enough have accepted
	sets      [][]Voter // whose majorities must accept
	accepted  map[Voter]bool
	lost      map[Voter]bool
}

// NewProposal returns a round and its first step. known names the voters, of this epoch or an older one.
func NewProposal(ballot Ballot, known Value, change Change) (*Proposal, Step) {
	r := &Proposal{Ballot: ballot, change: change, known: known, promises: map[Voter]PrepareReply{}, asked: askedVoters{},
		accepted: map[Voter]bool{}, lost: map[Voter]bool{}}
	return r, Step{SendPrepare: r.asked.ask(known)}
}

// SetKnownChosen tells that a value was chosen at a ballot, as an earlier round or read of this process has found.
func (r *Proposal) SetKnownChosen(ballot Ballot) { r.proven = ballot }

// askedVoters are those that a call has turned to.
type askedVoters map[Voter]bool

// ask returns the voters of a value that weren't asked yet.
func (a askedVoters) ask(value Value) (voters []Voter) {
	for _, voter := range value.AllVoters() {
		if !a[voter] {
			a[voter] = true
			voters = append(voters, voter)
		}
	}
	return voters
}

// HandlePrepareReply takes a voter's answer to Prepare.
func (r *Proposal) HandlePrepareReply(from Voter, answer PrepareReply) Step {
	if r.Outcome != InProgress || r.proposing {
		return Step{}
	}
	if !answer.OK {
		return r.turnedDown(from, answer.WrongVoter, answer.Promised)
	}
	r.promises[from] = answer
	newest := r.newest()
	if more := r.asked.ask(newest.Value); len(more) > 0 {
		return Step{SendPrepare: more}
	}
	promised := func(voter Voter) bool { _, ok := r.promises[voter]; return ok }
	if !quorum(promised, newest.Value.Voters, newest.Value.OutgoingVoters) {
		return Step{}
	}
	return r.propose(newest)
}

// newest returns the promise with the highest accepted ballot. Danger: a voter that has accepted nothing says nothing of the
// voters; until something was accepted, those hold with which the round began, and all founders begin with the same.
func (r *Proposal) newest() PrepareReply {
	newest := PrepareReply{Value: r.known}
	for _, promise := range r.promises {
		if promise.Accepted.Compare(newest.Accepted) > 0 {
			newest = promise
		}
	}
	return newest
}

// propose derives the next value and has it accepted. Danger: a change of the voters must not be derived from a value that may
// not be chosen. Two such changes in a row would lead to voters of whom no majority has met the majorities before, while those
// go on without them. A value that isn't known to be chosen is made so first, by its own voters.
func (r *Proposal) propose(newest PrepareReply) Step {
	next, ok := r.change(newest.Value.Clone())
	r.ending = Chosen
	switch {
	case !ok && r.holds(newest):
		r.ChosenAt = newest.Accepted
		return r.end(Rejected, newest.Value)
	case !ok:
		r.ending, next = Rejected, newest.Value
	case next.Epoch != newest.Value.Epoch && !r.holds(newest):
		r.ending, next = Confirmed, newest.Value
	}
	r.proposing, r.Value, r.ChosenAt = true, next, r.Ballot
	r.lost = map[Voter]bool{}
	r.sets = [][]Voter{newest.Value.Voters, newest.Value.OutgoingVoters, next.Voters, next.OutgoingVoters}
	return Step{SendAccept: union(r.sets...)}
}

// holds tells whether the newest value is known to be chosen.
func (r *Proposal) holds(newest PrepareReply) bool {
	same := func(voter Voter) bool {
		promise, ok := r.promises[voter]
		return ok && promise.Accepted == newest.Accepted
	}
	if newest.Accepted == (Ballot{}) {
		return false
	}
	return newest.Accepted == r.proven || quorum(same, newest.Value.Voters, newest.Value.OutgoingVoters)
}

// HandleAcceptReply takes a voter's answer to Accept.
func (r *Proposal) HandleAcceptReply(from Voter, answer AcceptReply) Step {
	if r.Outcome != InProgress || !r.proposing {
		return Step{}
	}
	switch {
	case answer.NeedsConfig:
		return Step{SendConfig: []Voter{from}}
	case !answer.OK:
		return r.turnedDown(from, answer.WrongVoter, answer.Promised)
	}
	r.accepted[from] = true
	if !quorum(func(voter Voter) bool { return r.accepted[voter] }, r.sets...) {
		return Step{}
	}
	return r.end(r.ending, r.Value)
}

// HandleNoReply tells that a voter could not be reached or did not answer Accept or, where accepting is false, Prepare.
func (r *Proposal) HandleNoReply(from Voter, accepting bool) Step {
	if r.Outcome != InProgress || accepting != r.proposing {
		return Step{}
	}
	r.lost[from] = true
	return r.checkHope()
}

// Abandon ends the round.
func (r *Proposal) Abandon() {
	if r.Outcome == InProgress {
		r.Outcome = Abandoned
	}
}

func (r *Proposal) turnedDown(from Voter, stranger bool, promised Ballot) Step {
	r.lost[from] = true
	if !stranger && promised.Compare(r.HighestPromised) > 0 {
		r.HighestPromised = promised
	}
	return r.checkHope()
}

// checkHope ends the round once no majority is left.
func (r *Proposal) checkHope() Step {
	sets := r.sets
	if !r.proposing {
		newest := r.newest()
		sets = [][]Voter{newest.Value.Voters, newest.Value.OutgoingVoters}
	}
	if quorum(func(voter Voter) bool { return !r.lost[voter] }, sets...) {
		return Step{}
	}
	return r.end(Undecided, r.Value)
}

func (r *Proposal) end(outcome Outcome, value Value) Step {
	r.Outcome, r.Value = outcome, value
	return Step{Done: true}
}

package register

// Step lists the messages that the host has to send next. The host passes each reply, and each call that got none, to the
// Proposal or QuorumRead that returned the step.
type Step struct {
	SendPrepare []Voter // receivers of a PrepareRequest, or of a ReadRequest if a QuorumRead returned the step
	SendAccept  []Voter // receivers of an AcceptRequest
	SendConfig  []Voter // receivers of an AcceptRequest with the bytes of the configuration
	Done        bool    // the outcome is known; there is nothing to send
}

// IsEmpty reports whether the step neither sends anything nor ends the proposal or read: the host waits for further replies.
func (s Step) IsEmpty() bool {
	return !s.Done && len(s.SendPrepare)+len(s.SendAccept)+len(s.SendConfig) == 0
}

// Outcome is the result of a Proposal or QuorumRead.
type Outcome int

// The outcomes. That Value is chosen means that a majority holds it and that every later value is derived from it.
const (
	InProgress Outcome = iota
	Chosen             // Value is chosen and contains the change
	Rejected           // Value is chosen and the change does not apply to it
	Confirmed          // Value is now known to be chosen; the change was not proposed and may be proposed again
	Undecided          // a higher ballot was promised or no majority is reachable; the change may or may not be chosen later
	Abandoned          // the host gave the proposal up; the change may or may not be chosen later
)

// Change derives the next value from the current one, which it may modify. It returns false if the change does not apply.
type Change func(current Value) (next Value, ok bool)

// NoChange leaves the value as it is. Proposing it makes sure that the value is chosen.
func NoChange(current Value) (Value, bool) { return current, true }

// Proposal is the state machine of a proposer for one ballot.
type Proposal struct {
	Ballot          Ballot
	Outcome         Outcome
	Value           Value  // the proposed value during the accept phase; afterwards the chosen one, if Outcome says so
	ChosenAt        Ballot // the ballot at which Value was chosen, if Outcome says so
	HighestPromised Ballot // the highest ballot that a rejection returned; the next proposal must use a higher number

	deriveNext   Change
	initial      Value  // its voters are used until a reply contains newer ones
	knownChosen  Ballot // ballot at which a value is known to be chosen; see SetKnownChosen
	promises     map[Voter]PrepareReply
	contacted    contactedVoters
	isAccepting  bool      // the proposal is in the accept phase
	finalOutcome Outcome   // the outcome once a quorum has accepted
	acceptSets   [][]Voter // sets of voters; a majority of each must accept
	accepted     map[Voter]bool
	failed       map[Voter]bool // voters that rejected or did not reply in this phase
}

// NewProposal returns a proposal and its first step. The voters of initial may be of the current epoch or an older one.
func NewProposal(ballot Ballot, initial Value, change Change) (*Proposal, Step) {
	p := &Proposal{Ballot: ballot, deriveNext: change, initial: initial, promises: map[Voter]PrepareReply{}, contacted: contactedVoters{},
		accepted: map[Voter]bool{}, failed: map[Voter]bool{}}
	return p, Step{SendPrepare: p.contacted.add(initial)}
}

// SetKnownChosen sets the ballot at which an earlier proposal or read of this process has found a value chosen. Without it, a
// change of the voters ends Confirmed and has to be proposed again if the replies don't show that the value is chosen.
func (p *Proposal) SetKnownChosen(ballot Ballot) { p.knownChosen = ballot }

// contactedVoters is the set of voters that were sent the first request.
type contactedVoters map[Voter]bool

// add adds the voters of a value and returns those that are new.
func (c contactedVoters) add(value Value) (added []Voter) {
	for _, voter := range value.AllVoters() {
		if !c[voter] {
			c[voter] = true
			added = append(added, voter)
		}
	}
	return added
}

// HandlePrepareReply handles a voter's reply to PrepareRequest. Replies that arrive after the prepare phase are ignored.
func (p *Proposal) HandlePrepareReply(from Voter, reply PrepareReply) Step {
	if p.Outcome != InProgress || p.isAccepting {
		return Step{}
	}
	if !reply.OK {
		return p.handleRejection(from, reply.WrongVoter, reply.Promised)
	}
	p.promises[from] = reply
	newest := p.highestAccepted()
	// Danger: the reply may contain newer voters. The earlier replies may already decide the phase among these, and there may be no
	// further reply. Check whether the phase is won or lost before contacting voters that were not asked yet.
	hasPromised := func(voter Voter) bool { _, ok := p.promises[voter]; return ok }
	if hasQuorum(hasPromised, newest.Value.Voters, newest.Value.OutgoingVoters) {
		return p.propose(newest)
	}
	if step := p.endIfNoQuorumLeft(); step.Done {
		return step
	}
	return Step{SendPrepare: p.contacted.add(newest.Value)}
}

// highestAccepted returns the promise with the highest accepted ballot. Danger: a voter that has accepted nothing doesn't know
// the current voters. As long as no promise has an accepted value, the initial voters count, which all founders share.
func (p *Proposal) highestAccepted() PrepareReply {
	newest := PrepareReply{Value: p.initial}
	for _, promise := range p.promises {
		if promise.Accepted.Compare(newest.Accepted) > 0 {
			newest = promise
		}
	}
	return newest
}

// propose derives the next value and starts the accept phase. Danger: a change of the voters must not be derived from a value
// that may not be chosen. After two such changes in a row, majorities of the new voters need not overlap with majorities of
// the original ones, and the two sets could decide independently. A value that is not known to be chosen is therefore first
// proposed unchanged.
func (p *Proposal) propose(newest PrepareReply) Step {
	next, ok := p.deriveNext(newest.Value.Clone())
	p.finalOutcome = Chosen
	switch {
	case !ok && p.isKnownChosen(newest):
		p.ChosenAt = newest.Accepted
		return p.finish(Rejected, newest.Value)
	case !ok:
		p.finalOutcome, next = Rejected, newest.Value
	case next.Epoch != newest.Value.Epoch && !p.isKnownChosen(newest):
		p.finalOutcome, next = Confirmed, newest.Value
	}
	p.isAccepting, p.Value, p.ChosenAt = true, next, p.Ballot
	p.failed = map[Voter]bool{}
	p.acceptSets = [][]Voter{newest.Value.Voters, newest.Value.OutgoingVoters, next.Voters, next.OutgoingVoters}
	return Step{SendAccept: distinctVoters(p.acceptSets...)}
}

// isKnownChosen reports whether the value of a promise is known to be chosen: an earlier call has found it chosen, or a
// majority of the value's own voters has accepted it.
func (p *Proposal) isKnownChosen(newest PrepareReply) bool {
	hasAccepted := func(voter Voter) bool {
		promise, ok := p.promises[voter]
		return ok && promise.Accepted == newest.Accepted
	}
	if newest.Accepted == (Ballot{}) {
		return false
	}
	return newest.Accepted == p.knownChosen || hasQuorum(hasAccepted, newest.Value.Voters, newest.Value.OutgoingVoters)
}

// HandleAcceptReply handles a voter's reply to AcceptRequest.
func (p *Proposal) HandleAcceptReply(from Voter, reply AcceptReply) Step {
	if p.Outcome != InProgress || !p.isAccepting {
		return Step{}
	}
	switch {
	case reply.NeedsConfig:
		return Step{SendConfig: []Voter{from}}
	case !reply.OK:
		return p.handleRejection(from, reply.WrongVoter, reply.Promised)
	}
	p.accepted[from] = true
	if !hasQuorum(func(voter Voter) bool { return p.accepted[voter] }, p.acceptSets...) {
		return Step{}
	}
	return p.finish(p.finalOutcome, p.Value)
}

// HandleNoReply handles a call to a voter that got no reply: an AcceptRequest if isAccept is set, else a PrepareRequest.
func (p *Proposal) HandleNoReply(from Voter, isAccept bool) Step {
	if p.Outcome != InProgress || isAccept != p.isAccepting {
		return Step{}
	}
	p.failed[from] = true
	return p.endIfNoQuorumLeft()
}

// EndIfPreempted ends the proposal if a voter has promised a higher ballot and none of the voters whose replies are awaited is
// reachable. The host calls it after a reply that leaves nothing to send.
//
// Danger: without it, each pre-empted proposal waits for the timeout of its calls to unreachable voters, and two proposers that
// pre-empt each other may need several proposals.
func (p *Proposal) EndIfPreempted(isReachable func(Voter) bool) Step {
	if p.Outcome != InProgress || p.HighestPromised.Compare(p.Ballot) <= 0 {
		return Step{}
	}
	for _, voter := range p.awaited() {
		if isReachable(voter) {
			return Step{}
		}
	}
	return p.finish(Undecided, p.Value)
}

// awaited returns the voters that have not replied in this phase.
func (p *Proposal) awaited() (voters []Voter) {
	if p.isAccepting {
		for _, voter := range distinctVoters(p.acceptSets...) {
			if !p.accepted[voter] && !p.failed[voter] {
				voters = append(voters, voter)
			}
		}
		return voters
	}
	for voter := range p.contacted {
		if _, hasPromised := p.promises[voter]; !hasPromised && !p.failed[voter] {
			voters = append(voters, voter)
		}
	}
	return voters
}

// Abandon ends the proposal; later replies are ignored.
func (p *Proposal) Abandon() {
	if p.Outcome == InProgress {
		p.Outcome = Abandoned
	}
}

// handleRejection counts a voter as failed and records the ballot that it has promised.
func (p *Proposal) handleRejection(from Voter, isWrongVoter bool, promised Ballot) Step {
	p.failed[from] = true
	if !isWrongVoter && promised.Compare(p.HighestPromised) > 0 {
		p.HighestPromised = promised
	}
	return p.endIfNoQuorumLeft()
}

// endIfNoQuorumLeft ends the proposal if the voters that have not failed no longer form a quorum.
func (p *Proposal) endIfNoQuorumLeft() Step {
	quorumSets := p.acceptSets
	if !p.isAccepting {
		newest := p.highestAccepted()
		quorumSets = [][]Voter{newest.Value.Voters, newest.Value.OutgoingVoters}
	}
	if hasQuorum(func(voter Voter) bool { return !p.failed[voter] }, quorumSets...) {
		return Step{}
	}
	return p.finish(Undecided, p.Value)
}

// finish ends the proposal.
func (p *Proposal) finish(outcome Outcome, value Value) Step {
	p.Outcome, p.Value = outcome, value
	return Step{Done: true}
}

package register

// QuorumRead is the state machine of a read that changes nothing. Where voters differ it can't tell, and a round of Keep must.
type QuorumRead struct {
	Value    Value
	ChosenAt Ballot  // the ballot at which Value was chosen
	Outcome  Outcome // Chosen: Value holds; Outvoted: a round of Keep is needed

	known   Value
	answers map[Voter]PrepareReply
	asked   askedVoters
	lost    int
}

// NewQuorumRead returns a read and its first step, whose Prepare names the voters to send Read to.
func NewQuorumRead(known Value) (*QuorumRead, Step) {
	r := &QuorumRead{known: known, answers: map[Voter]PrepareReply{}, asked: askedVoters{}}
	return r, Step{SendPrepare: r.asked.ask(known)}
}

// HandleReadReply takes a voter's answer to Read.
func (r *QuorumRead) HandleReadReply(from Voter, answer PrepareReply) Step {
	if r.Outcome != InProgress {
		return Step{}
	}
	if !answer.OK {
		return r.HandleNoReply()
	}
	r.answers[from] = answer
	newest := answer
	for _, other := range r.answers {
		if other.Accepted.Compare(newest.Accepted) > 0 {
			newest = other
		}
	}
	if more := r.asked.ask(newest.Value); len(more) > 0 {
		return Step{SendPrepare: more}
	}
	same := func(voter Voter) bool {
		other, ok := r.answers[voter]
		return ok && other.Accepted == newest.Accepted
	}
	if newest.Accepted != (Ballot{}) && quorum(same, newest.Value.Voters, newest.Value.OutgoingVoters) {
		r.Outcome, r.Value, r.ChosenAt = Chosen, newest.Value, newest.Accepted
		return Step{Done: true}
	}
	return r.checkAll()
}

// HandleNoReply tells that a voter gave no answer.
func (r *QuorumRead) HandleNoReply() Step {
	if r.Outcome != InProgress {
		return Step{}
	}
	r.lost++
	return r.checkAll()
}

func (r *QuorumRead) checkAll() Step {
	if len(r.answers)+r.lost < len(r.asked) {
		return Step{}
	}
	r.Outcome = Undecided
	return Step{Done: true}
}

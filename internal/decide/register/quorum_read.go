package register

// QuorumRead is the state machine of a read, which uses no ballot and changes nothing. It returns the value if a majority has
// accepted it at the same ballot. Otherwise it ends Undecided; the host then proposes NoChange.
type QuorumRead struct {
	Outcome  Outcome // Chosen or Undecided once the read has ended
	Value    Value   // the chosen value, if Outcome is Chosen
	ChosenAt Ballot  // the ballot at which Value was chosen, if Outcome is Chosen

	replies   map[Voter]PrepareReply
	contacted contactedVoters
	failures  int
}

// NewQuorumRead returns a read and its first step. The voters of initial may be of the current epoch or an older one. The
// host sends a ReadRequest to each voter in Step.SendPrepare.
func NewQuorumRead(initial Value) (*QuorumRead, Step) {
	r := &QuorumRead{replies: map[Voter]PrepareReply{}, contacted: contactedVoters{}}
	return r, Step{SendPrepare: r.contacted.add(initial)}
}

// HandleReadReply handles a voter's reply to ReadRequest.
func (r *QuorumRead) HandleReadReply(from Voter, reply PrepareReply) Step {
	if r.Outcome != InProgress {
		return Step{}
	}
	if !reply.OK {
		return r.HandleNoReply()
	}
	r.replies[from] = reply
	newest := reply
	for _, other := range r.replies {
		if other.Accepted.Compare(newest.Accepted) > 0 {
			newest = other
		}
	}
	if added := r.contacted.add(newest.Value); len(added) > 0 {
		return Step{SendPrepare: added}
	}
	hasAccepted := func(voter Voter) bool {
		other, ok := r.replies[voter]
		return ok && other.Accepted == newest.Accepted
	}
	if newest.Accepted != (Ballot{}) && hasQuorum(hasAccepted, newest.Value.Voters, newest.Value.OutgoingVoters) {
		r.Outcome, r.Value, r.ChosenAt = Chosen, newest.Value, newest.Accepted
		return Step{Done: true}
	}
	return r.endIfAllReplied()
}

// HandleNoReply handles a call to a voter that got no reply.
func (r *QuorumRead) HandleNoReply() Step {
	if r.Outcome != InProgress {
		return Step{}
	}
	r.failures++
	return r.endIfAllReplied()
}

// endIfAllReplied ends the read without a value once no reply is outstanding.
func (r *QuorumRead) endIfAllReplied() Step {
	if len(r.replies)+r.failures < len(r.contacted) {
		return Step{}
	}
	r.Outcome = Undecided
	return Step{Done: true}
}

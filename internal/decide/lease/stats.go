package lease

// Stats is a snapshot of a Node's status and its counters since the start of the process.
type Stats struct {
	Epoch          uint64 `json:"epoch"`    // of the group that this member belongs to; 0: of none
	Term           uint64 `json:"term"`     // Raft's
	Serial         uint64 `json:"serial"`   // of the persisted state
	IsVoter        bool   `json:"elector"`  // as far as this member knows
	IsLeader       bool   `json:"leads"`    // of the voters
	PersistFailed  bool   `json:"unkept"`   // the last write failed: this member does not vote
	Grants         uint64 `json:"grants"`   // commands applied from the log that changed a grant or a record
	Acquired       uint64 `json:"owned"`    // leases of this member that started
	Lapsed         uint64 `json:"lapsed"`   // of these, leases that expired without a renewal
	QuorumReads    uint64 `json:"rounds"`   // started by this member as the leader, to confirm renewals
	Persists       uint64 `json:"saves"`    // requested writes of the state
	ElectionsWon   uint64 `json:"leaders"`  // by this member
	DroppedStale   uint64 `json:"dropped"`  // messages that depended on an older state of their sender than the latest known one
	VotersReplaced uint64 `json:"replaced"` // by this member as the leader
}

// Stats returns the present status and counters.
func (n *Node) Stats() Stats {
	s := n.stats
	s.Serial, s.PersistFailed = n.serial, n.persistFailed
	if n.founding != nil {
		s.Epoch = n.founding.Epoch
	}
	if g := n.group; g != nil {
		s.Term, s.IsLeader, s.IsVoter = g.term, g.isLeader, n.isVoter()
	}
	return s
}

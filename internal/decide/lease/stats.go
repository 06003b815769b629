package lease

// Stats count what a Tenure has done, and say what it is.
type Stats struct {
	Epoch          uint64 `json:"epoch"` // of the group that this member is in; 0: of none
	Term           uint64 `json:"term"`
	Serial         uint64 `json:"serial"`
	IsVoter        bool   `json:"elector"`
	IsLeader       bool   `json:"leads"`
	PersistFailed  bool   `json:"unkept"`   // the state can't be kept: this member does not vote
	Grants         uint64 `json:"grants"`   // that were agreed, of all roles
	Acquired       uint64 `json:"owned"`    // grants to this member that became leases
	Lapsed         uint64 `json:"lapsed"`   // of these, leases that ended without a renewal
	QuorumReads    uint64 `json:"rounds"`   // quorum rounds for renewals, of this member as the leader
	Persists       uint64 `json:"saves"`    // writes of the state
	ElectionsWon   uint64 `json:"leaders"`  // times that this member has come to lead
	DroppedStale   uint64 `json:"dropped"`  // messages under a serial lower than heard before
	VotersReplaced uint64 `json:"replaced"` // electors that this member, leading, has had replaced
}

// Stats returns the counts so far.
func (n *Node) Stats() Stats {
	f := n.stats
	f.Serial, f.PersistFailed = n.serial, n.persistFailed
	if n.founding != nil {
		f.Epoch = n.founding.Epoch
	}
	if g := n.group; g != nil {
		f.Term, f.IsLeader, f.IsVoter = g.term, g.isLeader, n.isVoter()
	}
	return f
}

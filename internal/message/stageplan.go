package message

// StagePlan names the servers that are changing their stage. Proxies keep new requests away from them.
type StagePlan struct {
	Token    uint64           `msgpack:"t"` // fencing token of the lease under which the plan was made
	Sequence uint64           `msgpack:"s"` // counts the plans of one token
	Stages   map[string]Stage `msgpack:"m"` // the stage that each server is changing to, by instance
}

// IsNewerThan reports whether plan supersedes other: by a higher token, then by a higher sequence.
func (plan *StagePlan) IsNewerThan(other *StagePlan) bool {
	return plan.Token > other.Token || plan.Token == other.Token && plan.Sequence > other.Sequence
}

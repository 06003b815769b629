package message

// StagePlan names the servers that are changing their stage. A higher token, then a higher sequence, is newer.
type StagePlan struct {
	Token    uint64           `msgpack:"t"`
	Sequence uint64           `msgpack:"s"`
	Stages   map[string]Stage `msgpack:"m"` // by instance
}

// Newer tells whether p takes the place of other.
func (plan *StagePlan) IsNewerThan(other *StagePlan) bool {
	return plan.Token > other.Token || plan.Token == other.Token && plan.Sequence > other.Sequence
}

package register

import (
	"cmp"
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

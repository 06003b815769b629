package register

import "cmp"

// Ballot identifies a proposal and orders proposals. No two proposals may use the same ballot: Proposer names one
// incarnation of one process, which increments Number for each proposal. The zero Ballot is below all others.
type Ballot struct {
	Number   uint64 `msgpack:"r"`
	Proposer string `msgpack:"p"`
}

// Compare returns -1, 0 or 1 if b is below, equal to or above other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Proposer, other.Proposer))
}

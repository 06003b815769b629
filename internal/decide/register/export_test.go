package register

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone returns a round that goes on by itself from where r is.
func (r *Round) Clone() *Round {
	out := *r
	out.promises, out.asked = maps.Clone(r.promises), maps.Clone(r.asked)
	out.accepted, out.lost = maps.Clone(r.accepted), maps.Clone(r.lost)
	return &out
}

// Key tells rounds apart that may go on differently.
func (r *Round) Key() string {
	var out strings.Builder
	fmt.Fprint(&out, r.Ballot, r.Outcome, r.proposing, r.ending)
	if r.proposing {
		out.WriteString(r.Value.Key())
	}
	for _, voter := range sorted(r.asked) {
		promise, promised := r.promises[voter]
		fmt.Fprint(&out, voter.ID, promised, promise.Ballot, r.accepted[voter])
	}
	return out.String()
}

func sorted(set askedVoters) []Voter {
	return slices.SortedFunc(maps.Keys(set), func(a, b Voter) int { return strings.Compare(a.ID, b.ID) })
}

// Key tells values apart.
func (v *Value) Key() string {
	var out strings.Builder
	fmt.Fprint(&out, v.Epoch, "/", v.Version)
	for _, set := range [][]Voter{v.Voters, v.Previous} {
		out.WriteByte('|')
		for _, voter := range set {
			out.WriteString(voter.ID)
		}
	}
	return out.String()
}

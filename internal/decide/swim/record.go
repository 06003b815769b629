package swim

import (
	"cmp"
	"slices"
	"strconv"
)

// ID is an identity: it survives a restart with its state, and is drawn anew without.
type ID uint64

// String returns the identity as 16 hexadecimal digits.
func (id ID) String() string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[:16-len(s)] + s
}

// State is what is held of a member.
type State uint8

// The states. At one version the greater one holds.
const (
	Alive   State = iota
	Suspect       // one at least does not hear it, and it has not answered to that
	Dead
	Left // by its own word
)

var stateNames = [...]string{"alive", "suspected", "dead", "left"}

// String names the state; what came over a link may be none.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Gone tells whether a member is dead or has left.
func (s State) IsDeadOrLeft() bool { return s >= Dead }

// Version orders what is said of one identity. Danger: two processes may claim the same one, from a copied folder, and
// count their incarnations alike; the number that each has drawn for its life tells them apart.
type Version struct {
	Incarnation uint64 `msgpack:"i"` // grows with each life, and within a life with each refutation
	BootID      uint64 `msgpack:"l"` // drawn at the start of each process
}

// Compare orders versions.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, o.Incarnation), cmp.Compare(v.BootID, o.BootID))
}

// Record is what one member tells another of a third, or of itself. Of two records of one identity Merge makes one; in what
// order they come makes no difference.
type Record struct {
	ID         ID      `msgpack:"d"`
	Version    Version `msgpack:"v"`
	State      State   `msgpack:"s,omitempty"`
	Name       string  `msgpack:"n,omitempty"`
	Address    string  `msgpack:"a,omitempty"` // where it is dialed, with its port
	Accusers   []ID    `msgpack:"b,omitempty"` // who do not hear it; of one that is dead, whose word it was
	AgeSeconds float64 `msgpack:"t,omitempty"` // for how long it has been dead or left, by clocks that ran since
	Durable    bool    `msgpack:"k,omitempty"` // its state outlives the process: it can be an elector
}

// sane tells whether a record can be one.
func isValid(r *Record) bool {
	return r.Version.Incarnation < 1<<62 && r.State <= Left && r.ID != 0 && len(r.Name) <= 128 && len(r.Address) <= 256 && r.Address != "" && len(r.Accusers) <= 16 &&
		r.AgeSeconds >= 0 && r.AgeSeconds < 1e9
}

// Merge makes one record of two of the same identity, and tells whether that is another than the first.
func Merge(a, b Record) (Record, bool) {
	switch c := b.Version.Compare(a.Version); {
	case c < 0:
		return a, false
	case c > 0:
		return b, true
	}
	keeps := a.Durable || b.Durable // who passes a record on may be of a version that does not know the flag
	if b.State > a.State {
		if b.State == Suspect {
			b.Accusers = mergeAccusers(a.Accusers, b.Accusers)
		}
		b.Durable = keeps
		return b, true
	}
	news := a.Durable != keeps
	a.Durable = keeps
	if b.State == a.State && a.State == Suspect {
		if by := mergeAccusers(a.Accusers, b.Accusers); !slices.Equal(by, a.Accusers) {
			a.Accusers, news = by, true
		}
	}
	return a, news
}

// union returns the accusers of both, the least ones where they are more than enough.
func mergeAccusers(a, b []ID) []ID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxAccusers)]
}

package swim

import (
	"cmp"
	"slices"
	"strconv"
)

// ID is the identity of a member. It is stored with the member's state and survives restarts; a member without state draws a new one.
type ID uint64

// String returns the identity as 16 hexadecimal digits.
func (id ID) String() string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[:16-len(s)] + s
}

// State is the state of a member.
type State uint8

// The states. Their numbers are part of the protocol; of two records of one version the one with the greater state prevails.
const (
	Alive   State = iota
	Suspect       // at least one member receives nothing from it, and it has not refuted that
	Dead
	Left // announced by the member itself
)

var stateNames = [...]string{"alive", "suspected", "dead", "left"}

// String returns the name of the state as shown to operators, "unknown" for an invalid state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// IsDeadOrLeft reports whether a member takes part no more.
func (s State) IsDeadOrLeft() bool { return s >= Dead }

// Version orders the records of one identity. Danger: two processes may have the same identity, from a copied state folder, and count
// incarnations alike; the BootID tells them apart.
type Version struct {
	Incarnation uint64 `msgpack:"i"` // grows with each start of the process, and with each refutation
	BootID      uint64 `msgpack:"l"` // random, drawn at the start of the process
}

// Compare orders versions by incarnation, then by BootID.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, o.Incarnation), cmp.Compare(v.BootID, o.BootID))
}

// Record describes one member and is the unit of dissemination. Merge joins two records of one identity; the order in which records
// arrive makes no difference.
type Record struct {
	ID         ID      `msgpack:"d"`
	Version    Version `msgpack:"v"`
	State      State   `msgpack:"s,omitempty"`
	Name       string  `msgpack:"n,omitempty"`
	Address    string  `msgpack:"a,omitempty"` // host and port to dial
	Accusers   []ID    `msgpack:"b,omitempty"` // of a suspect member: the members that receive nothing from it, at most maxAccusers; of a dead one: the member that declared it dead
	AgeSeconds float64 `msgpack:"t,omitempty"` // time since it died or left, added up over the clocks of the senders
	Durable    bool    `msgpack:"k,omitempty"` // its state survives restarts, so it can be a voter
}

// Bounds of the records that are accepted from peers.
const (
	maxIncarnation      = 1 << 62
	maxNameLen          = 128
	maxAddressLen       = 256
	maxRecordAccusers   = 16
	maxRecordAgeSeconds = 1e9
)

// isValid reports whether a record from a peer is within its bounds.
func isValid(r *Record) bool {
	return r.ID != 0 && r.Version.Incarnation < maxIncarnation && r.State <= Left &&
		len(r.Name) <= maxNameLen && len(r.Address) <= maxAddressLen && r.Address != "" &&
		len(r.Accusers) <= maxRecordAccusers && r.AgeSeconds >= 0 && r.AgeSeconds < maxRecordAgeSeconds
}

// Merge joins two records of one identity, and reports whether the result differs from the first.
func Merge(a, b Record) (merged Record, changed bool) {
	switch c := b.Version.Compare(a.Version); {
	case c < 0:
		return a, false
	case c > 0:
		return b, true
	}
	durable := a.Durable || b.Durable // a sender of an older release doesn't know the field and omits it
	if b.State > a.State {
		if b.State == Suspect {
			b.Accusers = mergeAccusers(a.Accusers, b.Accusers)
		}
		b.Durable = durable
		return b, true
	}
	changed = a.Durable != durable
	a.Durable = durable
	if b.State == a.State && a.State == Suspect {
		if accusers := mergeAccusers(a.Accusers, b.Accusers); !slices.Equal(accusers, a.Accusers) {
			a.Accusers, changed = accusers, true
		}
	}
	return a, changed
}

// mergeAccusers returns the union of two sets in the order of IDs, truncated to maxAccusers.
func mergeAccusers(a, b []ID) []ID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxAccusers)]
}

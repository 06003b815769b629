package register

import (
	"crypto/sha256"
	"slices"
)

// Digest names the bytes of a configuration.
type Digest [16]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(sum[:16])
}

// Voter is a replica: the identity that its disk holds, and where it is reached. A disk that was lost takes the identity with it.
type Voter struct {
	ID      string `msgpack:"i"`
	Address string `msgpack:"a"`
}

// Grant says who holds a singleton role. Token only grows.
type Grant struct {
	Role   string `msgpack:"r"`
	Holder string `msgpack:"h"`
	Token  uint64 `msgpack:"t"`
}

// Value is what the register holds.
type Value struct {
	Epoch           uint64   `msgpack:"e"` // counts changes of the voters
	Voters          []Voter  `msgpack:"v"`
	OutgoingVoters  []Voter  `msgpack:"o"` // the voters before, while both sets decide; else empty
	ConfigVersion   uint64   `msgpack:"n"` // of the configuration; 0: there is none yet
	ConfigDigest    Digest   `msgpack:"c"`
	AcceptedChanges []Digest `msgpack:"d"` // the configurations accepted last, the newest at the end
	Grants          []Grant  `msgpack:"g"`
}

// Clone returns a value that shares no memory with v.
func (v Value) Clone() Value {
	v.Voters, v.OutgoingVoters = slices.Clone(v.Voters), slices.Clone(v.OutgoingVoters)
	v.AcceptedChanges, v.Grants = slices.Clone(v.AcceptedChanges), slices.Clone(v.Grants)
	return v
}

// GrantFor returns who holds a role, the zero Grant if nobody ever did.
func (v *Value) GrantFor(role string) Grant {
	for _, grant := range v.Grants {
		if grant.Role == role {
			return grant
		}
	}
	return Grant{Role: role}
}

// AllVoters returns the voters of both sets, each once.
func (v *Value) AllVoters() []Voter { return union(v.Voters, v.OutgoingVoters) }

// HasQuorum tells whether a majority of the voters, and of those before while both decide, is in.
func (v *Value) HasQuorum(in func(Voter) bool) bool { return quorum(in, v.Voters, v.OutgoingVoters) }

func union(sets ...[]Voter) (all []Voter) {
	for _, set := range sets {
		for _, voter := range set {
			if !slices.Contains(all, voter) {
				all = append(all, voter)
			}
		}
	}
	return all
}

// quorum tells whether a majority of every set that isn't empty is in.
func quorum(in func(Voter) bool, sets ...[]Voter) bool {
	for _, set := range sets {
		count := 0
		for _, voter := range set {
			if in(voter) {
				count++
			}
		}
		if len(set) > 0 && count <= len(set)/2 {
			return false
		}
	}
	return true
}

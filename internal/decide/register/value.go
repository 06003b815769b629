package register

import (
	"crypto/sha256"
	"slices"
)

// Digest identifies the bytes of a configuration or of a change to one, such as a patch.
type Digest [16]byte

// DigestOf returns the digest of data: the first 16 bytes of its SHA-256 sum.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(sum[:16])
}

// Voter is a replica of the register.
type Voter struct {
	ID      string `msgpack:"i"` // identity, stored on the voter's disk and lost with it
	Address string `msgpack:"a"` // IP:PORT at which other processes reach it
}

// Grant records to whom a singleton role is leased.
type Grant struct {
	Role   string `msgpack:"r"`
	Holder string `msgpack:"h"` // the lease holder
	Token  uint64 `msgpack:"t"` // fencing token: one higher with each grant of the role
}

// Value is the content of the register.
type Value struct {
	Epoch           uint64   `msgpack:"e"` // incremented by each change of the voters
	Voters          []Voter  `msgpack:"v"`
	OutgoingVoters  []Voter  `msgpack:"o"` // the previous voters, during a reconfiguration; else empty
	ConfigVersion   uint64   `msgpack:"n"` // 0 if there is no configuration yet
	ConfigDigest    Digest   `msgpack:"c"` // of the configuration's bytes, which are stored beside the value
	AcceptedChanges []Digest `msgpack:"d"` // identities of the last configuration changes, the newest at the end
	Grants          []Grant  `msgpack:"g"` // at most one for each role
}

// Clone returns a value that shares no memory with v.
func (v Value) Clone() Value {
	v.Voters, v.OutgoingVoters = slices.Clone(v.Voters), slices.Clone(v.OutgoingVoters)
	v.AcceptedChanges, v.Grants = slices.Clone(v.AcceptedChanges), slices.Clone(v.Grants)
	return v
}

// GrantFor returns the grant of a role. Its token is 0 if the role was never granted.
func (v *Value) GrantFor(role string) Grant {
	for _, grant := range v.Grants {
		if grant.Role == role {
			return grant
		}
	}
	return Grant{Role: role}
}

// AllVoters returns the current and the outgoing voters, each once.
func (v *Value) AllVoters() []Voter { return distinctVoters(v.Voters, v.OutgoingVoters) }

// HasQuorum reports whether isMember is true for a majority of the current voters and, during a reconfiguration, also for a
// majority of the outgoing ones.
func (v *Value) HasQuorum(isMember func(Voter) bool) bool {
	return hasQuorum(isMember, v.Voters, v.OutgoingVoters)
}

// distinctVoters returns the voters of all sets, each once, in the order in which they first occur.
func distinctVoters(sets ...[]Voter) (all []Voter) {
	for _, set := range sets {
		for _, voter := range set {
			if !slices.Contains(all, voter) {
				all = append(all, voter)
			}
		}
	}
	return all
}

// hasQuorum reports whether isMember is true for a majority of each set that is not empty.
func hasQuorum(isMember func(Voter) bool, sets ...[]Voter) bool {
	for _, set := range sets {
		count := 0
		for _, voter := range set {
			if isMember(voter) {
				count++
			}
		}
		if len(set) > 0 && count <= len(set)/2 {
			return false
		}
	}
	return true
}

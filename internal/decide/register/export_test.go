package register

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
)

// Clone returns an independent copy.
func (p *Proposal) Clone() *Proposal {
	out := *p
	out.promises, out.contacted = maps.Clone(p.promises), maps.Clone(p.contacted)
	out.accepted, out.failed = maps.Clone(p.accepted), maps.Clone(p.failed)
	return &out
}

// AppendKey appends a key that differs for proposals that may continue differently.
func (p *Proposal) AppendKey(key []byte) []byte {
	key = append(p.Ballot.appendKey(key), byte(p.Outcome), byte(p.finalOutcome), boolByte(p.isAccepting))
	if p.isAccepting {
		key = p.Value.AppendKey(key)
	}
	voters := make([]Voter, 0, len(p.contacted))
	for voter := range p.contacted {
		voters = append(voters, voter)
	}
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
	for _, voter := range voters {
		promise, promised := p.promises[voter]
		key = append(append(key, voter.ID...), boolByte(promised), boolByte(p.accepted[voter]))
		key = promise.Accepted.appendKey(key)
	}
	return key
}

func boolByte(flag bool) byte {
	if flag {
		return 1
	}
	return 0
}

func (b Ballot) appendKey(key []byte) []byte {
	return append(append(binary.AppendUvarint(key, b.Number), b.Proposer...), '/')
}

// AppendKey appends a key that differs for different states.
func (s *State) AppendKey(key []byte) []byte {
	key = append(key, s.ID...)
	return s.Value.AppendKey(s.Accepted.appendKey(s.Promised.appendKey(key)))
}

// AppendKey appends a key that differs for different values.
func (v *Value) AppendKey(key []byte) []byte {
	key = binary.AppendUvarint(binary.AppendUvarint(key, v.Epoch), v.ConfigVersion)
	for _, set := range [][]Voter{v.Voters, v.OutgoingVoters} {
		key = append(key, '|')
		for _, voter := range set {
			key = append(key, voter.ID...)
		}
	}
	for _, grant := range v.Grants {
		key = binary.AppendUvarint(append(append(key, '@'), grant.Holder...), grant.Token)
	}
	for _, digest := range v.AcceptedChanges {
		key = append(key, digest[:4]...)
	}
	return key
}

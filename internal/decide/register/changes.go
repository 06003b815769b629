package register

import "slices"

// mostAccepted bounds the digests of accepted configurations that are kept for changes that are sent again.
const mostAccepted = 512

// Verdict says how a change of the configuration fares on top of a value.
type Verdict int

// The verdicts on a change of the configuration.
const (
	Fits     Verdict = iota
	Repeated         // exactly this configuration was accepted before
	Stale            // another version is current than the one it is based on
	NotAbove         // its version is not above the current one
)

// Judge says how the configuration with this version, based on another, fares on top of v.
func (v *Value) Judge(version, base uint64, digest Digest) Verdict {
	switch {
	case slices.Contains(v.Accepted, digest):
		return Repeated
	case base != v.Version:
		return Stale
	case version <= v.Version:
		return NotAbove
	}
	return Fits
}

// Configure returns the change that puts a configuration in place of the one that it is based on.
func Configure(version, base uint64, digest Digest) Change {
	return func(current Value) (Value, bool) {
		if current.Judge(version, base, digest) != Fits {
			return current, false
		}
		current.Version, current.Config = version, digest
		current.Accepted = append(current.Accepted, digest)
		if excess := len(current.Accepted) - mostAccepted; excess > 0 {
			current.Accepted = slices.Delete(current.Accepted, 0, excess)
		}
		return current, true
	}
}

// Reconfigure returns the change to other voters, of the epoch after the given one. Both sets decide until Settle.
func Reconfigure(epoch uint64, voters []Voter) Change {
	return func(current Value) (Value, bool) {
		if current.Epoch != epoch || len(current.Previous) > 0 || len(voters) == 0 {
			return current, false
		}
		current.Epoch++
		current.Previous, current.Voters = current.Voters, slices.Clone(voters)
		return current, true
	}
}

// Settle is the change that lets the new voters decide alone.
func Settle(current Value) (Value, bool) {
	if len(current.Previous) == 0 {
		return current, false
	}
	current.Epoch++
	current.Previous = nil
	return current, true
}

// Take returns the change that gives a role to a holder with the next token, if the current token is still the given one.
func Take(role, holder string, token uint64) Change {
	return func(current Value) (Value, bool) {
		grant := current.Grant(role)
		if grant.Token != token {
			return current, false
		}
		next := Grant{Role: role, Holder: holder, Token: token + 1}
		current.Grants = slices.DeleteFunc(current.Grants, func(g Grant) bool { return g.Role == role })
		current.Grants = append(current.Grants, next)
		return current, true
	}
}

// Candidate is a control process that could vote.
type Candidate struct {
	Voter
	Alive bool // heard of lately
}

// Membership decides on the next set of voters: the candidates that live and don't vote yet join, those with the identity that
// an address had before leave with the disk that they lost, and voters that are silent leave for others or where more than wanted vote.
// It returns false where nothing is to be changed.
func Membership(current []Voter, candidates []Candidate, wanted int) ([]Voter, bool) {
	var silent, next, joining []Voter
	for _, voter := range current {
		switch {
		case replaced(voter, candidates):
		case alive(voter, candidates):
			next = append(next, voter)
		default:
			silent = append(silent, voter)
		}
	}
	for _, candidate := range candidates {
		if candidate.Alive && !slices.Contains(current, candidate.Voter) {
			joining = append(joining, candidate.Voter)
		}
	}
	next = append(next, joining...)
	// Silent voters stay only while fewer than wanted are left without them.
	for len(next) < wanted && len(silent) > 0 {
		next, silent = append(next, silent[0]), silent[1:]
	}
	changed := len(next) != len(current) || len(joining) > 0
	return next, changed && len(next) > 0
}

// replaced tells whether another identity lives at a voter's address.
func replaced(voter Voter, candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		return c.Alive && c.Address == voter.Address && c.ID != voter.ID
	})
}

func alive(voter Voter, candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Alive && c.Voter == voter })
}

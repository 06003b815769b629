package register

import "slices"

// RoleAcquisition is the acquisition of a role: it grants the role to a holder with the next fencing token. It applies only if the current token is
// the expected one, so that only one of several candidates acquires the role.
//
// Danger: a proposer proposes the same change round after round until one ends. A round that was pre-empted may have been completed by another
// process meanwhile. The change then doesn't apply any more, because of its own grant, and the proposal ends Rejected. GrantedToken tells this
// from a refusal.
type RoleAcquisition struct {
	role, holder  string
	expectedToken uint64
	wasProposed   bool // a round has derived a value with the grant
}

// NewRoleAcquisition returns the acquisition of a role by a holder on top of the expected token. It belongs to one call of the proposer.
func NewRoleAcquisition(role, holder string, expectedToken uint64) *RoleAcquisition {
	return &RoleAcquisition{role: role, holder: holder, expectedToken: expectedToken}
}

// Apply is the Change to propose.
func (a *RoleAcquisition) Apply(current Value) (Value, bool) {
	if current.GrantFor(a.role).Token != a.expectedToken {
		return current, false
	}
	next := Grant{Role: a.role, Holder: a.holder, Token: a.expectedToken + 1}
	current.Grants = slices.DeleteFunc(current.Grants, func(g Grant) bool { return g.Role == a.role })
	current.Grants = append(current.Grants, next)
	a.wasProposed = true
	return current, true
}

// GrantedToken returns the fencing token that this acquisition was granted, by the value that is chosen once its proposal has ended Chosen or
// Rejected. It returns 0 if the role was not granted to it.
//
// The grant of an earlier run of the same holder, with the same token, is not taken for its own: a round derives the grant only from a majority's
// newest value, so the token was not chosen before that round, and an earlier run has ended by then without acting on it.
func (a *RoleAcquisition) GrantedToken(chosen *Value) uint64 {
	grant := chosen.GrantFor(a.role)
	if !a.wasProposed || grant.Holder != a.holder || grant.Token != a.expectedToken+1 {
		return 0
	}
	return grant.Token
}

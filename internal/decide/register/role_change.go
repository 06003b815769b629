package register

import "slices"

// AcquireRole returns the change that gives a role to a holder with the next token, if the current token is still the given one.
func AcquireRole(role, holder string, token uint64) Change {
	return func(current Value) (Value, bool) {
		grant := current.GrantFor(role)
		if grant.Token != token {
			return current, false
		}
		next := Grant{Role: role, Holder: holder, Token: token + 1}
		current.Grants = slices.DeleteFunc(current.Grants, func(g Grant) bool { return g.Role == role })
		current.Grants = append(current.Grants, next)
		return current, true
	}
}

package register

import "slices"

// AcquireRole returns the change that grants a role to a holder with the next fencing token. It applies only if the current
// token is expectedToken, so that only one of several candidates acquires the role.
func AcquireRole(role, holder string, expectedToken uint64) Change {
	return func(current Value) (Value, bool) {
		grant := current.GrantFor(role)
		if grant.Token != expectedToken {
			return current, false
		}
		next := Grant{Role: role, Holder: holder, Token: expectedToken + 1}
		current.Grants = slices.DeleteFunc(current.Grants, func(g Grant) bool { return g.Role == role })
		current.Grants = append(current.Grants, next)
		return current, true
	}
}

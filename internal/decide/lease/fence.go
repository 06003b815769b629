package lease

import "slices"

// Fence holds the highest fencing token seen of each role. A receiver uses it to reject what a former lease holder still sends. The
// zero value has seen no token. It is not safe for concurrent use.
type Fence struct {
	seen []Grant // sorted by role; without holders
}

// maxRoles bounds the roles that a Fence or a leader keeps, since their names come from other processes.
const maxRoles = 256

// maxRoleNameBytes bounds the name of a role that the leader keeps.
const maxRoleNameBytes = 64

// Admit reports whether an effect under a token may be applied, and the highest token seen of the role. A token equal to the
// highest is admitted, since one grant has many effects. A new role beyond maxRoles is rejected.
func (f *Fence) Admit(role string, token uint64) (ok bool, highest uint64) {
	i, known := f.index(role)
	switch {
	case !known && len(f.seen) >= maxRoles || token == 0:
		return false, 0
	case !known:
		f.seen = slices.Insert(f.seen, i, Grant{Role: role, Token: token})
	case token < f.seen[i].Token:
		return false, f.seen[i].Token
	}
	f.seen[i].Token = token
	return true, token
}

// Highest returns the highest token of each role, sorted by role. The caller must not change it.
func (f *Fence) Highest() []Grant { return f.seen }

// Restore adds the tokens that an earlier process had seen. Tokens lower than those seen since change nothing.
func (f *Fence) Restore(seen []Grant) {
	for _, s := range seen {
		f.Admit(s.Role, s.Token)
	}
}

func (f *Fence) index(role string) (int, bool) { return grantIndex(f.seen, role) }

// grantIndex finds a role among grants sorted by role.
func grantIndex(grants []Grant, role string) (int, bool) {
	return slices.BinarySearchFunc(grants, role, func(g Grant, role string) int {
		switch {
		case g.Role < role:
			return -1
		case g.Role > role:
			return 1
		}
		return 0
	})
}

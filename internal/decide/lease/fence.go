package lease

import "slices"

// Fence keeps the greatest token seen of each role: what makes an old owner harmless. Its zero value has seen none.
type Fence struct {
	seen []Grant // by role, without owners
}

// maxRoles bounds the roles that are kept. Danger: their names come from outside.
const maxRoles = 256

// Admit tells whether an effect under a token may be taken, and the greatest token seen of the role. A token that is equal to
// the greatest is good: one grant has many effects.
func (f *Fence) Admit(role string, token uint64) (ok bool, greatest uint64) {
	i, known := f.place(role)
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

// Highest returns the greatest token of each role, by role; it is not to be changed.
func (f *Fence) Highest() []Grant { return f.seen }

// Restore takes what an earlier process had seen. What is lower than what was seen since changes nothing.
func (f *Fence) Restore(seen []Grant) {
	for _, s := range seen {
		f.Admit(s.Role, s.Token)
	}
}

func (f *Fence) place(role string) (int, bool) { return grantIndex(f.seen, role) }

// grantIndex finds a role among grants that are sorted by it.
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

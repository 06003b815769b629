package lease

import "slices"

// Fence keeps the greatest token seen of each job: what makes an old owner harmless. Its zero value has seen none.
type Fence struct {
	seen []Grant // by job, without owners
}

// maxRoles bounds the jobs that are kept. Danger: their names come from outside.
const maxRoles = 256

// Admit tells whether an effect under a token may be taken, and the greatest token seen of the job. A token that is equal to
// the greatest is good: one grant has many effects.
func (g *Fence) Admit(job string, token uint64) (ok bool, greatest uint64) {
	i, known := g.place(job)
	switch {
	case !known && len(g.seen) >= maxRoles || token == 0:
		return false, 0
	case !known:
		g.seen = slices.Insert(g.seen, i, Grant{Role: job, Token: token})
	case token < g.seen[i].Token:
		return false, g.seen[i].Token
	}
	g.seen[i].Token = token
	return true, token
}

// Highest returns the greatest token of each job, by job; it is not to be changed.
func (g *Fence) Highest() []Grant { return g.seen }

// Restore takes what an earlier process had seen. What is lower than what was seen since changes nothing.
func (g *Fence) Restore(seen []Grant) {
	for _, s := range seen {
		g.Admit(s.Role, s.Token)
	}
}

func (g *Fence) place(job string) (int, bool) { return grantIndex(g.seen, job) }

// grantIndex finds a job among grants that are sorted by it.
func grantIndex(grants []Grant, job string) (int, bool) {
	return slices.BinarySearchFunc(grants, job, func(g Grant, job string) int {
		switch {
		case g.Role < job:
			return -1
		case g.Role > job:
			return 1
		}
		return 0
	})
}

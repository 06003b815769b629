package quota

import (
	"slices"
)

// WithTree returns a limiter for another tree that goes on from this one, which must not be used any more. Levels, debts and
// credits stay with a group's path, within its new bounds. Debts of removed groups are written off and their credits stay in the
// pools; new groups start with a full bucket.
func (l *Limiter) WithTree(now float64, tree *Tree, settings Settings) *Limiter {
	now = l.advance(now)
	for _, table := range l.tables {
		if table != nil {
			table.settleAll(now)
		}
	}
	next := New(tree, settings, now)
	old := next.adoptState(l.State())
	moved := make([]int32, l.tree.Len())
	for n := range moved {
		moved[n] = int32(old[n])
		if parent := l.tree.nodes[n].parent; moved[n] < 0 && parent >= 0 {
			moved[n] = moved[parent]
		}
	}
	// Danger: a request may complete long after its group's number refers to another group.
	next.treeNumber, next.groupMoves = l.treeNumber+1, append(slices.Clone(l.groupMoves[max(0, len(l.groupMoves)-maxOldTrees+1):]), moved)
	for i, counts := range next.openCounts {
		if counts != nil {
			counts.sinceTree = next.treeNumber
		}
		if j := l.tree.limitIndex(tree.Limits[i].Name()); counts != nil && j >= 0 {
			counts.sinceTree = l.openCounts[j].sinceTree
			counts.meanSeconds = l.openCounts[j].meanSeconds
			for n, to := range old {
				if to >= 0 {
					counts.open[to] = l.openCounts[j].open[n]
				}
			}
		}
	}
	return next
}

// maxOldTrees bounds the earlier trees whose requests in flight are still known.
const maxOldTrees = 16

// presentGroup returns the present number of a request's group, -1 if it is gone.
func (l *Limiter) presentGroup(q *Request) int32 {
	g := q.Group
	for tree := q.tree; tree < l.treeNumber && g >= 0; tree++ {
		at := len(l.groupMoves) - (l.treeNumber - tree)
		if at < 0 {
			return -1
		}
		g = l.groupMoves[at][g]
	}
	return g
}

// limitIndex returns the index of a limit by its name, -1 if there is none.
func (t *Tree) limitIndex(limit string) int {
	if i, ok := t.limit(limit); ok {
		return i
	}
	return -1
}

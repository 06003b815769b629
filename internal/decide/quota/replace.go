package quota

import (
	"slices"
)

// WithTree returns a limiter for another tree that continues from this one, which must no longer be used. Groups keep their levels,
// debts and credits by path, within their new bounds. Debts of removed groups are written off and their credits stay in the pools;
// new groups start with a full bucket.
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
	// Danger: when a request completes, its group's number may refer to another group. groupMoves maps it to the current one.
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

// maxOldTrees bounds the number of earlier trees whose requests in flight can still be mapped to groups.
const maxOldTrees = 16

// currentGroup returns the number of a request's group in the current tree, -1 if it is not known any more. A removed group is
// replaced by its nearest ancestor that still exists.
func (l *Limiter) currentGroup(q *Request) int32 {
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

// limitIndex returns the index of the limit with a name, -1 if there is none.
func (t *Tree) limitIndex(limit string) int {
	if i, ok := t.limit(limit); ok {
		return i
	}
	return -1
}

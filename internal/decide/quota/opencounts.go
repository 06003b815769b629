package quota

import "math"

// openCounts counts requests in flight. What is lent comes back when a request completes, so there are no debts: a group may always
// use its own quota, and the unused part of an ancestor's. Danger: a lender can use its own quota at once, so until borrowers'
// requests have completed, more requests may be in flight than the quota allows.
type openCounts struct {
	tree        *Tree
	open        []int32 // by group: requests in flight
	quota       []float64
	caps        []float64
	peak        []int32 // by group: maximum of open
	sinceTree   int     // number of the first tree whose requests are counted
	meanSeconds float64 // mean time that requests are in flight
}

// newOpenCounts returns the counts of a tree's groups for the limit with index i.
func newOpenCounts(tree *Tree, i int, settings *Settings) *openCounts {
	o := &openCounts{tree: tree, open: make([]int32, tree.Len()), peak: make([]int32, tree.Len()), quota: make([]float64, tree.Len()), caps: make([]float64, tree.Len()),
		meanSeconds: 0.1}
	part := 1 / float64(max(settings.Replicas, 1))
	for n := range tree.nodes {
		o.quota[n], o.caps[n] = tree.nodes[n].quota[i]*part, math.Inf(1)
		if c := tree.nodes[n].cap[i]; c < math.Inf(1) {
			o.caps[n] = max(c*part, 1)
		}
	}
	o.quota[0] = max(o.quota[0], 1) // a sidecar admits one request even if its part is less
	return o
}

// waitSeconds estimates the time until a group may have one more request in flight, 0 if it may have it now.
func (o *openCounts) waitSeconds(g int32, mayUseFloor bool) float64 {
	free := false
	for n := g; n >= 0; n = o.tree.nodes[n].parent {
		next, group := float64(o.open[n]+1), &o.tree.nodes[n]
		if next > o.caps[n]+1e-9 {
			return max(o.meanSeconds/float64(max(o.open[n], 1)), 1e-3)
		}
		quota := o.quota[n]
		if !mayUseFloor {
			quota *= 1 - group.floor
		}
		free = free || next <= quota+1e-9
	}
	if free {
		return 0
	}
	return max(o.meanSeconds/float64(max(o.open[0], 1)), 1e-3)
}

// add adds n to the counts of a group and all groups above it.
func (o *openCounts) add(g, n int32) {
	for at := g; at >= 0; at = o.tree.nodes[at].parent {
		o.open[at] += n
		o.peak[at] = max(o.peak[at], o.open[at])
	}
}

// recordDuration updates the mean time that requests are in flight.
func (o *openCounts) recordDuration(seconds float64) {
	o.meanSeconds += 0.02 * (seconds - o.meanSeconds)
}

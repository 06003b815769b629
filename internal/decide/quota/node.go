package quota

import (
	"fmt"
	"math"
)

// newChild validates a group and returns its node, a child of the node at.
func (t *Tree) newChild(at int32, g *Group) (node, error) {
	p := &t.nodes[at]
	n := node{name: g.Name, path: g.Name, parent: at, depth: p.depth + 1, weight: g.Weight}
	if at > 0 {
		n.path = p.path + "." + g.Name
	}
	isPercent := func(v float64) bool { return v >= 0 && v <= 100 }
	switch {
	case n.depth > MaxDepth:
		return n, &GroupError{n.path, fmt.Sprintf("it is deeper than %d groups", MaxDepth)}
	case !isPercent(g.Share):
		return n, &GroupError{n.path, fmt.Sprintf("share: want percent of its parent, 0 to 100, not %g", g.Share)}
	case !(g.Weight >= 0 && g.Weight <= 1e6):
		return n, &GroupError{n.path, fmt.Sprintf("weight: want 0 to 1000000, not %g", g.Weight)}
	case g.Floor > 100:
		return n, &GroupError{n.path, fmt.Sprintf("floor: %g %% is above the parent", g.Floor)}
	case !(g.Floor >= 0 && g.Floor <= g.Share):
		return n, &GroupError{n.path, fmt.Sprintf("floor: %g %% of its parent is above its share, %g %%", g.Floor, g.Share)}
	case !isPercent(g.Cap) || g.Cap > 0 && g.Cap < g.Share:
		return n, &GroupError{n.path, fmt.Sprintf("cap: want percent of its parent from its share, %g, to 100, not %g", g.Share, g.Cap)}
	}
	if g.Floor > 0 {
		n.floor = g.Floor / g.Share
	}
	n.quota, n.cap = make([]float64, len(t.Limits)), make([]float64, len(t.Limits))
	named := 0
	for l, limit := range t.Limits {
		n.quota[l], n.cap[l] = p.quota[l]*g.Share/100, math.Inf(1)
		if g.Cap > 0 {
			n.cap[l] = p.quota[l] * g.Cap / 100
		}
		v, ok := g.Quotas[limit.Name()]
		if !ok {
			continue
		}
		named++
		if n.quota[l] = v; !(v >= 0 && v <= p.quota[l]) || v > n.cap[l] {
			return n, &GroupError{n.path, fmt.Sprintf("quotas: %s: want 0 to %g, what its parent and its cap allow", limit.Name(), min(p.quota[l], n.cap[l]))}
		}
	}
	for name := range g.Quotas {
		if _, ok := t.limit(name); !ok && named < len(g.Quotas) {
			return n, &GroupError{n.path, "quotas: it names what is no limit; limits are " + t.limitNames()}
		}
	}
	return n, nil
}

// node is a group of a Tree.
type node struct {
	name, path string
	parent     int32 // -1 for the root
	depth      int32 // 0 for the root
	inner      bool  // it has children
	weight     float64
	floor      float64   // fraction of the group's own quota
	quota      []float64 // by limit
	unassigned []float64 // by limit: part of the quota that is not assigned to children
	cap        []float64 // by limit; +Inf without a cap
}

// link contains the fields of a node that every decision reads.
type link struct {
	weight float64
	parent int32
	inner  bool
}

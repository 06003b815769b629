package quota

import (
	"fmt"
	"math"
	"strings"
)

// Bounds of a tree.
const (
	MaxGroups     = 100_000
	MaxDepth      = 12 // levels below the root
	MaxLimits     = 8
	maxNameLength = 64
)

// Group is a group as it is configured. Percentages are of the parent's quotas.
type Group struct {
	Name   string
	Parent string             // name of the parent; "" for the root
	Share  float64            // percent
	Weight float64            // its part relative to its siblings when they want more of a pool than it holds
	Cap    float64            // percent; 0 for no cap
	Floor  float64            // percent, at most Share: reserved for requests with MayUseFloor
	Quotas map[string]float64 // by name of a limit, in its unit; replaces the share
}

// Tree is a validated tree of groups. It is immutable. Groups are numbered from 0, the root.
type Tree struct {
	Limits []Limit
	nodes  []node // the root first, parents before children
	links  []link // of nodes, in the same order
	byName map[string]int32
}

// GroupError says what is invalid about a group.
type GroupError struct{ Path, Reason string }

// Error returns the path and the reason.
func (f *GroupError) Error() string { return f.Path + ": " + f.Reason }

// NewTree validates limits and groups, which may be in any order. Its errors contain the path of the invalid group or the limit.
func NewTree(limits []Limit, groups []Group) (*Tree, error) {
	if err := checkLimits(limits); err != nil {
		return nil, err
	}
	if len(groups) == 0 {
		return nil, fmt.Errorf("groups: there is none")
	}
	if len(groups) > MaxGroups {
		return nil, fmt.Errorf("groups: %d, want at most %d", len(groups), MaxGroups)
	}
	byName, children := make(map[string]int, len(groups)), map[string][]int{}
	for i, g := range groups {
		if !isValidName(g.Name) {
			return nil, &GroupError{fmt.Sprintf("%q", g.Name), "want a name of at most 64 letters, digits, '_' and '-'"}
		}
		if j, twice := byName[g.Name]; twice {
			return nil, &GroupError{pathOf(groups, byName, j), fmt.Sprintf("another group has the name %q, below %q", g.Name, g.Parent)}
		}
		byName[g.Name] = i
	}
	for i, g := range groups {
		if _, ok := byName[g.Parent]; g.Parent != "" && !ok {
			return nil, &GroupError{pathOf(groups, byName, i), fmt.Sprintf("its parent %q is no group", g.Parent)}
		}
		children[g.Parent] = append(children[g.Parent], i)
	}
	t := &Tree{Limits: limits, byName: make(map[string]int32, len(groups))}
	root := node{parent: -1, weight: 1, quota: make([]float64, len(limits)), cap: make([]float64, len(limits))}
	for i, l := range limits {
		root.quota[i], root.cap[i] = l.Quota, math.Inf(1)
	}
	t.nodes = append(make([]node, 0, len(groups)+1), root)
	for at := int32(0); int(at) < len(t.nodes); at++ { // breadth first: the list grows during the loop
		if err := t.addChildren(at, groups, children[t.nodes[at].name]); err != nil {
			return nil, err
		}
	}
	if len(t.nodes) <= len(groups) { // groups that can't be reached from the root form a cycle
		for i, g := range groups {
			if _, ok := t.byName[g.Name]; !ok {
				return nil, &GroupError{pathOf(groups, byName, i), "it is below itself: the parents are a cycle"}
			}
		}
	}
	t.links = make([]link, len(t.nodes))
	for i := range t.nodes {
		t.links[i] = link{t.nodes[i].weight, t.nodes[i].parent, t.nodes[i].inner}
	}
	return t, nil
}

// addChildren appends a node's children, and computes which part of its quotas is not assigned to them.
func (t *Tree) addChildren(at int32, groups []Group, children []int) error {
	p := &t.nodes[at]
	p.inner = len(children) > 0
	p.unassigned = append([]float64(nil), p.quota...)
	shares := 0.0
	for _, i := range children {
		n, err := t.newChild(at, &groups[i])
		if err != nil {
			return err
		}
		shares += groups[i].Share
		for l := range t.Limits {
			t.nodes[at].unassigned[l] -= n.quota[l]
		}
		t.byName[n.name] = int32(len(t.nodes))
		t.nodes = append(t.nodes, n) // does not reallocate
	}
	if shares > 100+1e-6 {
		return &GroupError{t.Path(at), fmt.Sprintf("its children's shares come to %.6g %%, over 100 %%", shares)}
	}
	p = &t.nodes[at]
	for l, limit := range t.Limits {
		if p.unassigned[l] < -1e-9*p.quota[l] {
			return &GroupError{t.Path(at), fmt.Sprintf("its children's quotas of %s come to %.6g, over its own %.6g", limit.Name(), p.quota[l]-p.unassigned[l], p.quota[l])}
		}
		// Danger: rounding may leave a tiny remainder, whose inflow would take a million years to fill a pool.
		if p.unassigned[l] = max(p.unassigned[l], 0); p.unassigned[l] < 1e-9*p.quota[l] {
			p.unassigned[l] = 0
		}
	}
	return nil
}

// limit returns the index of a limit by its name.
func (t *Tree) limit(name string) (int, bool) {
	for i, l := range t.Limits {
		if l.Name() == name {
			return i, true
		}
	}
	return 0, false
}

// limitNames returns the names of all limits for an error message.
func (t *Tree) limitNames() string {
	var names []string
	for _, l := range t.Limits {
		names = append(names, l.Name())
	}
	return strings.Join(names, ", ")
}

// pathOf returns the path of a group among groups that may be invalid. It stops at a missing parent or after a cycle.
func pathOf(groups []Group, byName map[string]int, i int) string {
	path, seen := groups[i].Name, map[int]bool{i: true}
	for {
		j, ok := byName[groups[i].Parent]
		if groups[i].Parent == "" || !ok || len(seen) > MaxDepth {
			return path
		}
		path = groups[j].Name + "." + path
		if seen[j] {
			return path
		}
		seen[j], i = true, j
	}
}

// isValidName reports whether a name has only letters, digits, '_' and '-'.
func isValidName(s string) bool {
	isInvalid := func(r rune) bool {
		isAlphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !isAlphanumeric && r != '_' && r != '-'
	}
	return s != "" && len(s) <= maxNameLength && !strings.ContainsFunc(s, isInvalid)
}

// Len returns the number of groups, including the root.
func (t *Tree) Len() int { return len(t.nodes) }

// Path returns the path of a group: the names of its ancestors and its own, separated by dots. The root's is "all".
func (t *Tree) Path(g int32) string {
	if g == 0 {
		return "all"
	}
	return t.nodes[g].path
}

// Find returns the number of the group with a path or a name.
func (t *Tree) Find(path string) (int32, bool) {
	g, ok := t.byName[path[strings.LastIndexByte(path, '.')+1:]]
	if !ok || t.nodes[g].path != path && t.nodes[g].name != path {
		return 0, false
	}
	return g, true
}

// Name returns the name of a group.
func (t *Tree) Name(g int32) string { return t.nodes[g].name }

// AcceptsRequests reports whether requests may belong to a group: only groups without children accept them.
func (t *Tree) AcceptsRequests(g int32) bool { return g > 0 && !t.nodes[g].inner }

// Parent returns the parent of a group, -1 for the root.
func (t *Tree) Parent(g int32) int32 { return t.nodes[g].parent }

// Quota returns a group's quota for a limit, by its index in Limits.
func (t *Tree) Quota(g int32, limit int) float64 { return t.nodes[g].quota[limit] }

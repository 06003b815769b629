package quota

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The bounds of a tree.
const (
	MaxGroups     = 100_000
	MaxDepth      = 12 // groups above each other, the root not counted
	MaxLimits     = 8
	maxNameLength = 64
)

// Measure is what a limit counts.
type Measure uint8

// The measures.
const (
	Requests Measure = iota
	Bytes            // of requests and answers
	Work             // seconds of a box
	Open             // requests that have not been answered
	measureCount
)

var measureNames = [measureCount]string{"requests", "bytes", "work", "open"}

func (m Measure) String() string { return measureNames[m] }

// ParseMeasure returns the measure of a name.
func ParseMeasure(name string) (Measure, bool) {
	for m, n := range measureNames {
		if n == name {
			return Measure(m), true
		}
	}
	return 0, false
}

// Limit is what the root, the whole fleet, has of a measure.
type Limit struct {
	Measure       Measure
	WindowSeconds float64 // seconds; 0 of Open, which has no window
	Quota         float64 // in each window; of Open, at a time
}

// Name names a limit as files and figures do: requests/10, or open.
func (l Limit) Name() string {
	if l.Measure == Open {
		return "open"
	}
	return l.Measure.String() + "/" + strconv.FormatFloat(l.WindowSeconds, 'g', -1, 64)
}

// Group is a group as it is configured. Percentages are of its parent's quotas.
type Group struct {
	Name   string
	Parent string             // its name; "" is the root
	Share  float64            // percent
	Weight float64            // among the children of its parent, when more is wanted of a pool than it holds
	Cap    float64            // percent; 0: none
	Floor  float64            // percent, within the share: kept for requests that may touch it
	Quotas map[string]float64 // by a limit's name, in place of the share
}

// Tree is a checked tree of groups.
type Tree struct {
	Limits []Limit
	nodes  []node // the root first, parents before their children
	links  []link // of the same, what every decision needs
	byName map[string]int32
}

// node is a group in a Tree.
type node struct {
	name, path string
	parent     int32 // -1 of the root
	depth      int32 // 0 of the root
	inner      bool  // it has children
	weight     float64
	floor      float64 // part of its own quota
	quota      []float64
	unassigned []float64 // of the quota, that no child has
	cap        []float64 // +Inf: none
}

// link is a node's place in the tree.
type link struct {
	weight float64
	parent int32
	inner  bool
}

// GroupError is an error of one group.
type GroupError struct{ Path, Reason string }

func (f *GroupError) Error() string { return f.Path + ": " + f.Reason }

// NewTree checks groups, which may come in any order. An error names the path of the group at fault.
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
	for at := int32(0); int(at) < len(t.nodes); at++ { // the list grows as it is walked: parents first
		if err := t.addChildren(at, groups, children[t.nodes[at].name]); err != nil {
			return nil, err
		}
	}
	if len(t.nodes) <= len(groups) { // what can't be reached from the root has itself above it
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

func checkLimits(limits []Limit) error {
	if len(limits) == 0 || len(limits) > MaxLimits {
		return fmt.Errorf("limits: %d, want 1 to %d", len(limits), MaxLimits)
	}
	seen := map[string]bool{}
	for i, l := range limits {
		at := fmt.Sprintf("limits[%d]", i)
		switch {
		case l.Measure >= measureCount:
			return fmt.Errorf("%s.measure: want requests, bytes, work or open", at)
		case l.Measure == Open && l.WindowSeconds != 0:
			return fmt.Errorf("%s.window_s: open requests have no window", at)
		case l.Measure != Open && !(l.WindowSeconds >= 0.1 && l.WindowSeconds <= 31*86400):
			return fmt.Errorf("%s.window_s: want seconds, 0.1 to 2678400", at)
		case !(l.Quota > 0 && l.Quota <= 1e15):
			return fmt.Errorf("%s.quota: want more than 0, at most 1e15", at)
		case seen[l.Name()]:
			return fmt.Errorf("%s: %s is given twice", at, l.Name())
		}
		seen[l.Name()] = true
	}
	return nil
}

// addChildren appends a node's children and sees what they leave of its quotas.
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
		t.nodes = append(t.nodes, n) // its memory is there already
	}
	if shares > 100+1e-6 {
		return &GroupError{t.Path(at), fmt.Sprintf("its children's shares come to %.6g %%, over 100 %%", shares)}
	}
	p = &t.nodes[at]
	for l, limit := range t.Limits {
		if p.unassigned[l] < -1e-9*p.quota[l] {
			return &GroupError{t.Path(at), fmt.Sprintf("its children's quotas of %s come to %.6g, over its own %.6g", limit.Name(), p.quota[l]-p.unassigned[l], p.quota[l])}
		}
		// Danger: sums that differ in their last digit would leave a rest that fills a pool within a million years.
		if p.unassigned[l] = max(p.unassigned[l], 0); p.unassigned[l] < 1e-9*p.quota[l] {
			p.unassigned[l] = 0
		}
	}
	return nil
}

// newChild checks a group below a node.
func (t *Tree) newChild(at int32, g *Group) (node, error) {
	p := &t.nodes[at]
	n := node{name: g.Name, path: g.Name, parent: at, depth: p.depth + 1, weight: g.Weight}
	if at > 0 {
		n.path = p.path + "." + g.Name
	}
	percent := func(v float64) bool { return v >= 0 && v <= 100 }
	switch {
	case n.depth > MaxDepth:
		return n, &GroupError{n.path, fmt.Sprintf("it is deeper than %d groups", MaxDepth)}
	case !percent(g.Share):
		return n, &GroupError{n.path, fmt.Sprintf("share: want percent of its parent, 0 to 100, not %g", g.Share)}
	case !(g.Weight >= 0 && g.Weight <= 1e6):
		return n, &GroupError{n.path, fmt.Sprintf("weight: want 0 to 1000000, not %g", g.Weight)}
	case g.Floor > 100:
		return n, &GroupError{n.path, fmt.Sprintf("floor: %g %% is above the parent", g.Floor)}
	case !(g.Floor >= 0 && g.Floor <= g.Share):
		return n, &GroupError{n.path, fmt.Sprintf("floor: %g %% of its parent is above its share, %g %%", g.Floor, g.Share)}
	case !percent(g.Cap) || g.Cap > 0 && g.Cap < g.Share:
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

func (t *Tree) limit(name string) (int, bool) {
	for i, l := range t.Limits {
		if l.Name() == name {
			return i, true
		}
	}
	return 0, false
}

func (t *Tree) limitNames() string {
	var names []string
	for _, l := range t.Limits {
		names = append(names, l.Name())
	}
	return strings.Join(names, ", ")
}

// pathOf returns the path of a group in groups that may be at fault: it ends at a parent that is absent, or that has come
// already.
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

func isValidName(s string) bool {
	odd := func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && r != '_' && r != '-'
	}
	return s != "" && len(s) <= maxNameLength && !strings.ContainsFunc(s, odd)
}

// Len returns how many groups there are, the root among them. They are numbered from 0, which is the root.
func (t *Tree) Len() int { return len(t.nodes) }

// Path returns the path of a group, its ancestors' names and its own with dots between them; the root's is "all".
func (t *Tree) Path(g int32) string {
	if g == 0 {
		return "all"
	}
	return t.nodes[g].path
}

// Find returns the group of a path or a name.
func (t *Tree) Find(path string) (int32, bool) {
	g, ok := t.byName[path[strings.LastIndexByte(path, '.')+1:]]
	if !ok || t.nodes[g].path != path && t.nodes[g].name != path {
		return 0, false
	}
	return g, true
}

// Name returns the name of a group, the last of its path.
func (t *Tree) Name(g int32) string { return t.nodes[g].name }

// AcceptsRequests tells whether a group takes requests: one that has children does not.
func (t *Tree) AcceptsRequests(g int32) bool { return g > 0 && !t.nodes[g].inner }

// Parent returns a group's parent, -1 of the root.
func (t *Tree) Parent(g int32) int32 { return t.nodes[g].parent }

// Quota returns what a group has of a limit, by its number in Limits.
func (t *Tree) Quota(g int32, limit int) float64 { return t.nodes[g].quota[limit] }

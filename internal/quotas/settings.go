package quotas

import (
	"fmt"
	"net/netip"

	"hazelwheel/internal/decide/quota"
)

// Settings are the operators' word on quotas. The zero value has none.
type Settings struct {
	File                    string      // of groups; "": there are no quotas
	Tree                    *quota.Tree // what it said at the start
	Rules                   []Rule      // in the order in which they are tried
	DefaultGroup            string      // the group of whoever is in none
	ExemptClasses           []string    // classes that are neither counted nor refused
	FloorClasses            []string    // classes that may use the groups' floors
	SnapshotDir             string      // of snapshots; "": none are made
	SnapshotIntervalSeconds float64     // the time between two
	StretchFraction         float64     // of a sidecar's part, see quota.Settings
	RepayFraction           float64
	FadeSeconds             float64
}

// Defaults returns the settings where nothing is said.
func Defaults() Settings {
	return Settings{SnapshotIntervalSeconds: 10, StretchFraction: quota.DefaultStretchFraction, RepayFraction: quota.DefaultRepayFraction, FadeSeconds: quota.DefaultFadeSeconds}
}

// IsEnabled tells whether there are quotas.
func (s *Settings) IsEnabled() bool { return s.File != "" }

// LimiterSettings returns the settings of the decisions in one of so many sidecars.
func (s *Settings) LimiterSettings(replicas int) quota.Settings {
	stretch := s.StretchFraction
	if replicas <= 1 {
		stretch = 0 // its part is the whole, and exact
	}
	return quota.Settings{Replicas: replicas, StretchFraction: stretch, RepayFraction: s.RepayFraction, FadeSeconds: s.FadeSeconds}
}

// Rule is one way to know a request's group: the value of a header field names it, or it is that of all requests of a
// class, or from addresses. One of Header, Class and Addresses is set.
type Rule struct {
	Header    string
	Class     string
	Addresses netip.Prefix
	Group     string // of Class and Addresses
}

// Validate tells what in the settings does not fit a tree. An error names the field.
func (s *Settings) Validate(t *quota.Tree) error {
	if err := checkGroup(t, s.DefaultGroup); err != nil {
		return fmt.Errorf("default: %w", err)
	}
	for i, r := range s.Rules {
		if r.Header != "" {
			continue
		}
		if err := checkGroup(t, r.Group); err != nil {
			return fmt.Errorf("identify[%d].group: %w", i, err)
		}
	}
	return nil
}

// checkGroup says why requests can't belong to a group.
func checkGroup(t *quota.Tree, path string) error {
	g, ok := t.Find(path)
	switch {
	case !ok:
		return fmt.Errorf("%q is no group of the file", path)
	case !t.AcceptsRequests(g):
		return fmt.Errorf("%q has groups below it; requests belong to one that has none", path)
	}
	return nil
}

// Classifier knows the groups of requests. It holds what the tree and the settings name and nothing else, so whatever
// names come, it does not grow.
type Classifier struct {
	tree         *quota.Tree
	rules        []Rule
	ruleGroups   []int32 // of the rules
	defaultGroup int32
}

// NewClassifier returns the directory of a tree that the settings have been checked for.
func NewClassifier(s *Settings, t *quota.Tree) *Classifier {
	d := &Classifier{tree: t, rules: s.Rules}
	for _, r := range s.Rules {
		g, _ := t.Find(r.Group) // 0 of a field, which has no group of its own
		d.ruleGroups = append(d.ruleGroups, g)
	}
	d.defaultGroup, _ = t.Find(s.DefaultGroup)
	return d
}

// FieldGetter is what a request says of itself.
type FieldGetter interface {
	// Field returns the value of a field, "" if it is absent.
	Field(name string) string
}

// GroupOf returns the group of a request.
func (d *Classifier) GroupOf(header FieldGetter, class string, from netip.Addr) int32 {
	for i := range d.rules {
		r := &d.rules[i]
		switch {
		case r.Header != "":
			if g, ok := d.tree.Find(header.Field(r.Header)); ok && d.tree.AcceptsRequests(g) {
				return g
			}
		case r.Class != "":
			if r.Class == class {
				return d.ruleGroups[i]
			}
		case r.Addresses.Contains(from):
			return d.ruleGroups[i]
		}
	}
	return d.defaultGroup
}

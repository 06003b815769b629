package quotas

import (
	"net/netip"

	"hazelwheel/internal/decide/quota"
)

// Rule is one way to find a request's group: by the value of a header field, or by its class or client address. Exactly one of
// Header, Class and Addresses is set.
type Rule struct {
	Header    string // the name of a field whose value is a group
	Class     string
	Addresses netip.Prefix
	Group     string // for Class and Addresses
}

// Classifier finds the groups of requests. It is immutable, so unknown names in requests take no memory.
type Classifier struct {
	tree         *quota.Tree
	rules        []Rule
	ruleGroups   []int32 // by rule; not used for rules with Header
	defaultGroup int32
}

// NewClassifier returns the classifier for settings that were validated with the tree.
func NewClassifier(s *Settings, t *quota.Tree) *Classifier {
	c := &Classifier{tree: t, rules: s.Rules}
	for _, r := range s.Rules {
		g, _ := t.Find(r.Group) // 0 for rules with Header
		c.ruleGroups = append(c.ruleGroups, g)
	}
	c.defaultGroup, _ = t.Find(s.DefaultGroup)
	return c
}

// FieldGetter is a request with header fields.
type FieldGetter interface {
	// Field returns the value of a field, "" if it is absent.
	Field(name string) string
}

// GroupOf returns the group of a request by the first rule that matches, else the default group. A rule with Header matches only if the
// field names a group that accepts requests.
func (c *Classifier) GroupOf(header FieldGetter, class string, from netip.Addr) int32 {
	for i := range c.rules {
		r := &c.rules[i]
		switch {
		case r.Header != "":
			if g, ok := c.tree.Find(header.Field(r.Header)); ok && c.tree.AcceptsRequests(g) {
				return g
			}
		case r.Class != "":
			if r.Class == class {
				return c.ruleGroups[i]
			}
		case r.Addresses.Contains(from):
			return c.ruleGroups[i]
		}
	}
	return c.defaultGroup
}

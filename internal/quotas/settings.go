package quotas

import (
	"fmt"

	"hazelwheel/internal/decide/quota"
)

// Settings are the quotas' part of the operators' file. The zero value disables quotas.
type Settings struct {
	File                    string      // path of the file of groups; "": quotas are disabled
	Tree                    *quota.Tree // of File, as read at the start
	Rules                   []Rule      // in the order in which they are tried
	DefaultGroup            string      // of requests that no rule matches
	ExemptClasses           []string    // neither counted nor rejected
	FloorClasses            []string    // may use the groups' floors
	SnapshotDir             string      // folder of snapshots; "": none are written
	SnapshotIntervalSeconds float64     // between two snapshots
	StretchFraction         float64     // this and the next two: see quota.Settings
	RepayFraction           float64
	FadeSeconds             float64
}

// Defaults returns the settings that hold where the file says nothing else.
func Defaults() Settings {
	return Settings{SnapshotIntervalSeconds: 10, StretchFraction: quota.DefaultStretchFraction, RepayFraction: quota.DefaultRepayFraction, FadeSeconds: quota.DefaultFadeSeconds}
}

// IsEnabled reports whether there are quotas.
func (s *Settings) IsEnabled() bool { return s.File != "" }

// LimiterSettings returns the settings of the limiter in one of so many sidecars.
func (s *Settings) LimiterSettings(replicas int) quota.Settings {
	stretch := s.StretchFraction
	if replicas <= 1 {
		stretch = 0 // a single sidecar has the whole quota, exactly
	}
	return quota.Settings{Replicas: replicas, StretchFraction: stretch, RepayFraction: s.RepayFraction, FadeSeconds: s.FadeSeconds}
}

// Validate reports what in the settings does not fit a tree. An error names the field.
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

// checkGroup reports why requests can't belong to a group.
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

package quotas

import (
	"fmt"

	"hazelwheel/internal/decide/quota"
)

// Settings are the settings of quotas in the operators' file. The zero value disables quotas.
type Settings struct {
	File                    string      // path of the file of groups; "": quotas are disabled
	Tree                    *quota.Tree // the content of File when the process started
	Rules                   []Rule      // in the order in which they are tried
	DefaultGroup            string      // of requests that no rule matches
	ExemptClasses           []string    // classes whose requests are neither counted nor rejected
	FloorClasses            []string    // classes whose requests may use the groups' floors
	SnapshotDir             string      // folder of snapshots; "": none are written
	SnapshotIntervalSeconds float64     // between two snapshots
	StretchFraction         float64     // see quota.Settings for this field and the next two
	RepayFraction           float64
	FadeSeconds             float64
}

// Defaults returns the settings that apply if the file does not set them.
func Defaults() Settings {
	return Settings{SnapshotIntervalSeconds: 10, StretchFraction: quota.DefaultStretchFraction, RepayFraction: quota.DefaultRepayFraction, FadeSeconds: quota.DefaultFadeSeconds}
}

// IsEnabled reports whether there are quotas.
func (s *Settings) IsEnabled() bool { return s.File != "" }

// LimiterSettings returns the settings of the limiter in each of a number of sidecars.
func (s *Settings) LimiterSettings(replicas int) quota.Settings {
	stretch := s.StretchFraction
	if replicas <= 1 {
		stretch = 0 // a single sidecar enforces the whole quota exactly, so it needs no stretch
	}
	return quota.Settings{Replicas: replicas, StretchFraction: stretch, RepayFraction: s.RepayFraction, FadeSeconds: s.FadeSeconds}
}

// Validate returns an error that names the first field with a group that the tree does not have or that accepts no requests.
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

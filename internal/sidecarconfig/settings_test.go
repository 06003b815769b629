package sidecarconfig

import (
	"testing"

	"hazelwheel/policy"
)

func TestSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(`{"classes": [{"name": "c", "effect": "guarded", "dedupScope": "cell",
		"windowS": 4, "objectiveS": 0.25, "giveUpS": 1, "importance": 8, "new": [1]}], "unknown": {"deep": 1}, "clients": {"marksRetry": true},
		"limits": {"probes": true, "sendCap": 3}, "report": {"how": "on_probe", "fields": ["x9", "busy_reqs"]},
		"obligations": {"softRemoval": true, "coldFrom": 0.3}, "discovery": "on_request", "replicasOfMe": 4, "locality": 2, "deductions": {"crossZone": 0.06}}`))
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Policy
	c := s.Classes[0]
	if c.Effect != policy.Keyed || c.Group != policy.GroupCell || c.DedupWindowSeconds != 4 || c.LatencyTargetSeconds != 0.25 || c.PriorityWeight != 8 {
		t.Errorf("class %+v", c)
	}
	if s.ReportFields[0] != policy.FieldOther || s.ReportFields[1] != policy.FieldInflight || !s.ReportsOnProbe ||
		!s.GoneHostsUsable || !s.RetriesMarked || !s.ListOnDemand || !s.ProbesEnabled || s.MaxAttempts != 3 || s.Replicas != 4 || s.SlowStartFraction != 0.3 ||
		s.Zone != 2 || s.CrossZonePrice != 0.06 {
		t.Errorf("settings %+v", s)
	}
	for _, bad := range []string{`{`, `{"classes": [{"effect": "odd"}]}`} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("invalid settings %s were accepted", bad)
		}
	}
}

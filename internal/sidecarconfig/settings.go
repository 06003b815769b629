package sidecarconfig

import (
	"encoding/json"
	"fmt"

	"hazelwheel/policy"
)

// Settings are the settings object of a deployment: those that the policy uses, and those that only a process with network connections uses.
type Settings struct {
	Policy policy.Settings

	Zones           []string // names, indexed by zone number
	HostTypes       []string // names, indexed by host type number
	ReportFields    []string // names of the values in a load report, in the order of policy.Report
	ConnectTimeoutS float64  // a dial that takes longer has failed
	RetryAfter      bool     // responses to throttled requests say when to retry
	AnswerSlackS    float64  // a response that is later than the deadline by no more than this still counts
}

// settingsJSON is the JSON form of the settings. Unknown keys are ignored.
type settingsJSON struct {
	Classes []struct {
		Name, Effect, DedupScope                string
		GiveUpS, ObjectiveS, WindowS, LateWorth float64
		Importance, AimStretch                  float64
		Stream                                  bool
	}
	Clients        struct{ MarksRetry bool }
	Dcs, HostTypes []string
	Discovery      string
	Limits         struct {
		Cancel, Probes, SecondCopies bool
		RetryAfter                   *bool
		SendCap                      int
		MaxRetryAfterS, ConnIdleS    float64
		ConnectTimeoutS              float64
	}
	Locality    *int
	Deductions  struct{ CrossZone, Probe float64 }
	Obligations struct {
		AnswerSlackS                     float64
		AskWithinS, ColdFrom, ColdS      float64
		DrainGraceS, FallMultiple, FallS float64
		SoftRemoval                      bool
	}
	ReplicasOfMe int
	Report       struct {
		Fields []string
		How    string
	}
	RoundS    float64
	SelfIndex int
	Tenants   []struct {
		Name                 string
		AllowancePerS, Share float64
	}
	Weights string
}

var (
	effects = map[string]policy.Effect{"free": policy.Safe, "guarded": policy.Keyed, "single_shot": policy.Unsafe}
	groups  = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
		"cell": policy.GroupCell}
	reportFields = map[string]policy.ReportField{"busy_reqs": policy.FieldInflight, "pending": policy.FieldQueue}
)

// ParseSettings parses the settings object of the simulator's first message or of a configuration file.
func ParseSettings(raw []byte) (Settings, error) {
	var m settingsJSON
	if err := json.Unmarshal(raw, &m); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := Settings{
		Zones: m.Dcs, HostTypes: m.HostTypes, ReportFields: m.Report.Fields,
		RetryAfter:      m.Limits.RetryAfter == nil || *m.Limits.RetryAfter,
		ConnectTimeoutS: m.Limits.ConnectTimeoutS, AnswerSlackS: m.Obligations.AnswerSlackS,
	}
	s.Policy = policy.Settings{
		Self: m.SelfIndex, Replicas: m.ReplicasOfMe, TickSeconds: m.RoundS, RetriesMarked: m.Clients.MarksRetry,
		ProbesEnabled: m.Limits.Probes, CanCancel: m.Limits.Cancel, HedgingAllowed: m.Limits.SecondCopies,
		MaxAttempts: m.Limits.SendCap, MaxRetryAfterSeconds: m.Limits.MaxRetryAfterS, ConnIdleTimeoutSeconds: m.Limits.ConnIdleS,
		ReportsOnProbe:  m.Report.How == "on_probe",
		SizesComparable: m.Weights == "nominal" || m.Weights == "rough",
		ListOnDemand:    m.Discovery == "on_request", MaxListRequestGapSeconds: m.Obligations.AskWithinS,
		ProbePrice:        m.Deductions.Probe,
		DrainGraceSeconds: m.Obligations.DrainGraceS, GoneHostsUsable: m.Obligations.SoftRemoval,
		SlowStartFraction: m.Obligations.ColdFrom, SlowStartSeconds: m.Obligations.ColdS,
		SlowStartMultiple: m.Obligations.FallMultiple, SlowStartWindowSeconds: m.Obligations.FallS,
	}
	if m.Locality != nil { // without a zone of its own, a sidecar treats all zones alike
		s.Policy.Zone, s.Policy.CrossZonePrice = *m.Locality, m.Deductions.CrossZone
	}
	for _, name := range m.Report.Fields {
		s.Policy.ReportFields = append(s.Policy.ReportFields, reportFields[name])
	}
	for _, c := range m.Classes {
		effect, isKnownEffect := effects[c.Effect]
		group, isKnownGroup := groups[c.DedupScope]
		if !isKnownEffect || !isKnownGroup {
			return s, fmt.Errorf("settings: class %q: unknown effect %q or scope %q", c.Name, c.Effect, c.DedupScope)
		}
		s.Policy.Classes = append(s.Policy.Classes, policy.Class{
			Name: c.Name, Effect: effect, Group: group, DedupWindowSeconds: c.WindowS, LatencyTargetSeconds: c.ObjectiveS, TotalTimeoutSeconds: c.GiveUpS,
			PriorityWeight: c.Importance, LateFraction: c.LateWorth, TargetStretch: c.AimStretch, Stream: c.Stream,
		})
	}
	for _, t := range m.Tenants {
		s.Policy.Tenants = append(s.Policy.Tenants, policy.Tenant{Name: t.Name, Share: t.Share, QuotaPerSecond: t.AllowancePerS})
	}
	return s, nil
}

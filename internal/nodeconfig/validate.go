package nodeconfig

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"

	"go.yaml.in/yaml/v3"

	"hazelwheel/internal/diagnostic"
)

const (
	// maxConfigBytes is the size of the largest configuration that deployments allow.
	maxConfigBytes = 4 << 20
	// joinOverheadSeconds is what a control process needs beside the transfer of a configuration to become a voter.
	joinOverheadSeconds = 1.2
	// maxSeeds is the maximum number of seeds that the platform writes.
	maxSeeds = 3
)

// Report is the result of validating a settings file.
type Report struct {
	Settings *Settings            // nil if there are faults
	Faults   []diagnostic.Finding // each of them keeps a process from starting
	Unknown  []diagnostic.Finding // keys that are ignored
}

// Validate parses the text of a settings file and returns all its problems, sorted by line.
func Validate(data []byte) Report {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return Report{Faults: decodeProblems(err)}
	}
	settings := defaults()
	var problems problemList
	if err := document.Decode(settings); err != nil {
		problems = decodeProblems(err) // the decoder continues after a value that it can't decode
	}
	for _, problem := range settings.validate(&document) {
		isSameLine := func(other diagnostic.Finding) bool { return other.Line == problem.Line && problem.Line > 0 }
		if !slices.ContainsFunc(problems, isSameLine) {
			problems = append(problems, problem)
		}
	}
	diagnostic.Sort(problems)
	report := Report{Faults: problems}
	if len(document.Content) > 0 {
		report.Unknown = unknownFields(document.Content[0], "", reflect.TypeFor[Settings]())
	}
	if len(problems) == 0 {
		settings.listenLine, _ = positionOf(&document, "Listen")
		report.Settings = settings
	}
	return report
}

// problemList collects the problems of a settings file.
type problemList []diagnostic.Finding

// add adds a problem with the field at a path, such as Bounds.GraceS.
func (l *problemList) add(document *yaml.Node, path, format string, args ...any) {
	line, column := positionOf(document, path)
	*l = append(*l, diagnostic.Finding{Line: line, Column: column, Path: path, Text: fmt.Sprintf(format, args...)})
}

// validate returns the problems of the values. Values that could not be parsed have their defaults.
func (s *Settings) validate(document *yaml.Node) (problems problemList) {
	if s.NodeID == "" {
		problems.add(document, "NodeId", "a name is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		problems.add(document, "Ip", "not an IP address: %q", s.IP)
	}
	if len(s.InternalPortRange) != 2 || s.InternalPortRange[0] < 1 || s.InternalPortRange[1] > math.MaxUint16 ||
		s.InternalPortRange[1] < s.InternalPortRange[0]+int(lastPort) {
		problems.add(document, "InternalPortRange", "want two ports, the first and the last of %d or more", int(lastPort)+1)
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			problems.add(document, "Seeds", "not IP:PORT: %q", seed)
		}
	}
	for field, address := range map[string]string{"Listen.Front": s.Listen.Front, "Listen.Ready": s.Listen.Ready, "Listen.Control": s.Listen.Control,
		"Cloud.Address": s.Cloud.Address} {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			problems.add(document, field, "not IP:PORT: %q", address)
		}
	}
	s.Bounds.validate(document, &problems)
	return problems
}

// validate adds the problems of the bounds.
func (b *Bounds) validate(document *yaml.Node, problems *problemList) {
	for field, value := range map[string]float64{"DrainMs": b.DrainMs, "GraceS": b.GraceSeconds, "ConfigApplyMs": b.ConfigApplyMs,
		"BudgetWindowS": b.BudgetWindowSeconds, "LeaseMs": b.LeaseMs} {
		if !(value > 0) || math.IsInf(value, 1) {
			problems.add(document, "Bounds."+field, "want a figure above 0, not %v", value)
		}
	}
	for field, value := range map[string]float64{"RetryBudgetRatio": b.RetryBudgetRatio, "BudgetSlack": b.BudgetSlack,
		"QuotaWindowS": b.QuotaWindowSeconds, "QuotaOverage": b.QuotaOverage, "QuotaSlack": b.QuotaSlack} {
		if !(value >= 0) || math.IsInf(value, 1) {
			problems.add(document, "Bounds."+field, "want a figure of 0 or more, not %v", value)
		}
	}
}

// CheckOperatorAddress returns an error if this machine is to store a replica of the configuration and has no address for the
// operator. Only processes that serve the operator call it.
func (s *Settings) CheckOperatorAddress() error {
	if !s.StoresConfig() || s.Listen.Control != "" {
		return nil
	}
	return fmt.Errorf("line %d: Listen.Control: a machine whose disk counts needs an address for the operator", s.listenLine)
}

// Warnings describes bounds that contradict each other on this machine, in a line each. A process starts nevertheless.
func (s *Settings) Warnings() (warnings []string) {
	if !s.CountsForQuorum {
		return nil
	}
	transferSeconds := maxConfigBytes * 8 / (max(s.Limits.LinkMbps, 1e-3) * 1e6)
	if s.Limits.LinkMbps > 0 && transferSeconds+joinOverheadSeconds > s.Bounds.CatchUpSeconds {
		warnings = append(warnings, fmt.Sprintf("CatchUpS: %v s are too short to copy %d MB at LinkMbps %v, which takes %.1f s: a member that lost "+
			"its disk counts late where configurations are that large", s.Bounds.CatchUpSeconds, maxConfigBytes>>20, s.Limits.LinkMbps, transferSeconds))
	}
	if s.Bounds.RecoverySeconds < s.Bounds.CatchUpSeconds {
		warnings = append(warnings, fmt.Sprintf("RecoveryS: %v s are fewer than CatchUpS, %v: members are not caught up when all are to serve again",
			s.Bounds.RecoverySeconds, s.Bounds.CatchUpSeconds))
	}
	if voters := s.FaultTolerance.MinVoters(); voters > 1 && len(s.Seeds) < min(voters, maxSeeds) {
		warnings = append(warnings, fmt.Sprintf("Seeds: %d are too few to found a register of %d voters", len(s.Seeds), voters))
	}
	return warnings
}

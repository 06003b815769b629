package nodeconfig

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"

	"hazelwheel/internal/diagnostic"

	"go.yaml.in/yaml/v3"
)

// CheckOperatorAddress returns an error where this machine is to hold a part of the configuration and the operator can't reach it. Processes
// that don't serve the operator are not asked.
func (s *Settings) CheckOperatorAddress() error {
	if !s.StoresConfig() || s.Listen.Control != "" {
		return nil
	}
	return fmt.Errorf("line %d: Listen.Control: a machine whose disk counts needs an address for the operator", s.listenLine)
}

func (s *Settings) check(document *yaml.Node) (found faults) {
	if s.NodeID == "" {
		found.add(document, "NodeId", "a name is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		found.add(document, "Ip", "not an IP address: %q", s.IP)
	}
	if len(s.InternalPortRange) != 2 || s.InternalPortRange[0] < 1 || s.InternalPortRange[1] > 65535 ||
		s.InternalPortRange[1] < s.InternalPortRange[0]+int(lastPort) {
		found.add(document, "InternalPortRange", "want two ports, the first and the last of %d or more", int(lastPort)+1)
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			found.add(document, "Seeds", "not IP:PORT: %q", seed)
		}
	}
	for field, address := range map[string]string{"Listen.Front": s.Listen.Front, "Listen.Ready": s.Listen.Ready, "Listen.Control": s.Listen.Control,
		"Cloud.Address": s.Cloud.Address} {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			found.add(document, field, "not IP:PORT: %q", address)
		}
	}
	s.Bounds.check(document, &found)
	return found
}

func (b *Bounds) check(document *yaml.Node, found *faults) {
	for field, figure := range map[string]float64{"DrainMs": b.DrainMs, "GraceS": b.GraceSeconds, "ConfigApplyMs": b.ConfigApplyMs,
		"BudgetWindowS": b.BudgetWindowSeconds, "LeaseMs": b.LeaseMs} {
		if !(figure > 0) || math.IsInf(figure, 1) {
			found.add(document, "Bounds."+field, "want a figure above 0, not %v", figure)
		}
	}
	for field, figure := range map[string]float64{"RetryBudgetRatio": b.RetryBudgetRatio, "BudgetSlack": b.BudgetSlack} {
		if !(figure >= 0) || math.IsInf(figure, 1) {
			found.add(document, "Bounds."+field, "want a figure of 0 or more, not %v", figure)
		}
	}
}

const (
	// largestConfig is the size in bytes of the largest configuration that deployments allow.
	largestConfig = 4 << 20
	// noticeS is what a control process needs before and after it copies a configuration, in seconds: to be noticed, and to be taken
	// in as a voter.
	noticeS = 1.2
	// mostSeeds is how many control processes the operators name at most.
	mostSeeds = 3
)

// Warnings names bounds that can't be kept together on this machine, a line each. They don't keep a process from running.
func (s *Settings) Warnings() (doubts []string) {
	if !s.CountsForQuorum {
		return nil
	}
	if copyS := largestConfig * 8 / (max(s.Limits.LinkMbps, 1e-3) * 1e6); s.Limits.LinkMbps > 0 && copyS+noticeS > s.Bounds.CatchUpSeconds {
		doubts = append(doubts, fmt.Sprintf("CatchUpS: %v s are too short to copy %d MB at LinkMbps %v, which takes %.1f s: a member that lost "+
			"its disk counts late where configurations are that large", s.Bounds.CatchUpSeconds, largestConfig>>20, s.Limits.LinkMbps, copyS))
	}
	if s.Bounds.RecoverySeconds < s.Bounds.CatchUpSeconds {
		doubts = append(doubts, fmt.Sprintf("RecoveryS: %v s are fewer than CatchUpS, %v: members are not caught up when all are to serve again",
			s.Bounds.RecoverySeconds, s.Bounds.CatchUpSeconds))
	}
	if wanted := s.FaultTolerance.MinVoters(); wanted > 1 && len(s.Seeds) < min(wanted, mostSeeds) {
		doubts = append(doubts, fmt.Sprintf("Seeds: %d are too few to found a register of %d voters", len(s.Seeds), wanted))
	}
	return doubts
}

// Report is what an examination of a settings file has found.
type Report struct {
	Settings *Settings            // nil where there are faults
	Faults   []diagnostic.Finding // for any of which a process does not begin
	Unknown  []diagnostic.Finding // fields that are passed over
}

// Validate reads settings and returns all that is wrong with them.
func Validate(data []byte) Report {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return Report{Faults: unreadable(err)}
	}
	settings := defaults()
	var found faults
	if err := document.Decode(settings); err != nil {
		found = unreadable(err) // the library goes on behind a value that it can't read
	}
	for _, refused := range settings.check(&document) {
		sameLine := func(other diagnostic.Finding) bool { return other.Line == refused.Line && refused.Line > 0 }
		if !slices.ContainsFunc(found, sameLine) {
			found = append(found, refused)
		}
	}
	diagnostic.Sort(found)
	report := Report{Faults: found}
	if len(document.Content) > 0 {
		report.Unknown = unknownFields(document.Content[0], "", reflect.TypeFor[Settings]())
	}
	if len(found) == 0 {
		settings.listenLine, _ = placeOf(&document, "Listen")
		report.Settings = settings
	}
	return report
}

// faults collects what is wrong with a settings file.
type faults []diagnostic.Finding

func (f *faults) add(document *yaml.Node, place, format string, args ...any) {
	line, column := placeOf(document, place)
	*f = append(*f, diagnostic.Finding{Line: line, Column: column, Place: place, Text: fmt.Sprintf(format, args...)})
}

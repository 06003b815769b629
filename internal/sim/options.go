package sim

import (
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
)

// FleetMode determines on which days the sidecars form a fleet, and with which features. Its values are those of a flag of
// hazellab.
type FleetMode string

// The modes. FleetBySeed has a fleet on a third of the seeds.
const (
	FleetBySeed FleetMode = ""
	FleetOff    FleetMode = "off"
	FleetOn     FleetMode = "on"
	// TogetherOwners is TogetherAll with three electors and the job report, and disks on which old states are put back.
	FleetWithRoles FleetMode = "owners"
	// TogetherWorks is TogetherOwners with longer days, on which boxes are worked on by plans.
	FleetWithMaintenance FleetMode = "works"
	// TogetherApart plays the days of TogetherAll, with the same troubles, for sidecars that know nothing of each other.
	FleetFaultsOnly FleetMode = "apart"
)

// isOn reports whether the sidecars of a seed's day form a fleet.
func (t FleetMode) isOn(seed uint64) bool {
	return t == FleetOn || t == FleetWithRoles || t == FleetWithMaintenance || t == FleetBySeed && seed%3 == 0
}

// Options are the settings of a day. The zero value is a day as its seed draws it, with the real sidecar.
type Options struct {
	Factory Factory                       // nil: the sidecar, with Protocol and Quotas as set here
	Trace   func(at float64, line string) // called with every event, at seconds since the day's start; may be nil
	// Until stops the day at the first finding of this rule; "any" at the first of all. Danger: what the day has left
	// at its end is then not looked at.
	StopAtRule    checker.Rule
	WithoutFaults bool // leaves out the script's faults
	// Speech is what applications and boxes speak; empty: HTTP. It changes nothing else of a day, but that answers over Thrift
	// hold no load reports: those come with probes.
	Protocol environment.Protocol
	// Batch is at how many times its share a batch of reads comes beside the applications' requests; 0: there is none. With
	// Quotas the sidecars hold groups to their shares.
	BatchFactor        float64
	Quotas             bool
	Servers            int                 // at the start of the day, with traffic in proportion; 0: as drawn
	CustomRanges       *environment.Ranges // replaces the ranges that the sizes here determine; may be nil
	ConfiguredSidecars int                 // number of sidecars according to their configurations; 0: the actual one
	// Watch is told of all that the judge is told; nil: nobody is.
	Observer checker.Observer
	// Together says on which days sidecars know each other. Those of other cores, speeches and quotas never do.
	FleetMode FleetMode
	// Weigh has a day of TogetherWorks be about one plan or script, in place of drawn ones; nil: they are drawn.
	Maintenance *MaintenanceStrategy
	Sidecars    int // of the day, with the same traffic in sum; 0: as drawn
}

// hasFleet reports whether the sidecars of a seed's day form a fleet.
func (o Options) hasFleet(seed uint64) bool {
	return o.Factory == nil && !o.Protocol.IsThrift() && !o.Quotas && o.FleetMode.isOn(seed)
}

// standardServers is the number of servers of a day without Options.Servers, on average.
const standardServers = 15

// Ranges returns the ranges that days are drawn from.
func (o Options) Ranges() environment.Ranges {
	if o.CustomRanges != nil {
		return *o.CustomRanges
	}
	r := environment.StandardRanges()
	if o.FleetMode == FleetWithMaintenance {
		r.LengthSeconds = environment.Range{Min: 80, Max: 120}
		r.LongRequestDayShare, r.LongRequestFactor = 0.3, environment.Range{Min: 6, Max: 20}
	}
	if o.Servers > 0 {
		r = environment.LargeRanges(o.Servers)
	}
	if o.Sidecars > 0 {
		r.Sidecars = environment.Range{Min: float64(o.Sidecars), Max: float64(o.Sidecars)}
	}
	return r
}

// AnyRule stands for every rule in Options.StopAtRule.
const AnyRule checker.Rule = "any"

// DrawScript draws the script of a seed.
func (o Options) DrawScript(seed uint64) environment.Script {
	d := environment.Draw(seed, o.Ranges())
	s := environment.DrawScript(&d)
	if o.hasFleet(seed) || o.FleetMode == FleetFaultsOnly {
		environment.DrawPeerFaults(&d, &s)
	}
	if o.FleetMode == FleetWithMaintenance {
		environment.DrawLags(&d, &s)
		// What is left of the day is for plans to go on.
		s.Faults = slices.DeleteFunc(s.Faults, func(t environment.Fault) bool { return t.AtSeconds > 0.7*d.LengthSeconds })
	}
	return s
}

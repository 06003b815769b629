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
	// FleetWithRoles is FleetOn with three voters and leases of singleton roles, and with old states restored on disks.
	FleetWithRoles FleetMode = "owners"
	// FleetWithMaintenance is FleetWithRoles with longer days, on which servers are maintained by plans.
	FleetWithMaintenance FleetMode = "works"
	// FleetFaultsOnly plays the days of FleetOn, with the same faults, with sidecars that form no fleet.
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
	// StopAtRule stops the day at the first violation of this rule, or of any with AnyRule. Danger: the resources in use at the end
	// of the day are then not checked.
	StopAtRule    checker.Rule
	WithoutFaults bool // leaves out the script's faults
	// Protocol is that of applications and servers; empty: HTTP. It changes nothing else, but that responses over Thrift carry no load
	// reports: health checks do.
	Protocol environment.Protocol
	// BatchFactor adds a batch of reads, at a rate of so many times its quota, to the applications' requests; 0: none. With Quotas
	// the sidecars enforce quotas.
	BatchFactor        float64
	Quotas             bool
	Servers            int                 // at the start of the day, with traffic in proportion; 0: as drawn
	CustomRanges       *environment.Ranges // replaces the ranges that the sizes here determine; may be nil
	ConfiguredSidecars int                 // number of sidecars according to their configurations; 0: the actual one
	// Observer gets the same events as the checker; may be nil.
	Observer checker.Observer
	// FleetMode determines on which days the sidecars form a fleet; with a Factory, Thrift or Quotas none do.
	FleetMode FleetMode
	// Maintenance replaces the drawn plans of FleetWithMaintenance by one strategy; nil: they are drawn.
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
		// The end of the day is without new faults, so that plans can go on.
		s.Faults = slices.DeleteFunc(s.Faults, func(t environment.Fault) bool { return t.AtSeconds > 0.7*d.LengthSeconds })
	}
	return s
}

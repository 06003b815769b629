package sim

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio/virtual"
)

// restSeconds is how long a day goes on after the last arrival: requests end, idle connections reach their age and are closed.
const restSeconds = 14.0

// day is a day that is being played. It belongs to one goroutine.
type day struct {
	script             environment.Script
	spec               environment.Day
	conditions         machineConditions
	network            *virtual.Network
	checker            *checker.Checker
	environment        *environment.Environment
	faults             *environment.FaultInjector
	factory            Factory
	trace              func(at float64, line string)
	machines           []*machine
	sidecars           []*simulatedSidecar
	hasFleet           bool               // the sidecars form a fleet
	lastFaultAt        float64            // the last time of a fault between sidecars
	configuredSidecars int                // Options.ConfiguredSidecars
	stalledPeers       int                // started so far
	queueReported      bool               // a violation of checkPeerQueues was reported
	activePeerFaults   int                // faults between sidecars that go on
	peerRates          map[[2]int]float64 // by two sidecars, bytes a second from the first to the second; for lookups, never iterated
	fleetReported      bool               // a violation of checkFleet was reported
	dropCounts         map[[2]string]int  // by two machines, DropTraffic calls without their RestoreTraffic; for lookups, never iterated
	hasRoles           bool               // the fleet has leases for singleton roles
	maintenance        *maintenanceDriver // nil: no server is maintained
	maintenanceOrder   maintenance.Order
	maxToken           uint64           // largest fencing token seen
	observer           checker.Observer // Options.Observer, may be nil
}

// newDay builds a day from a script and starts its programs. The order of the steps is that of the random draws.
func newDay(s environment.Script, o Options) (*day, error) {
	d := &day{script: s, spec: s.Day(o.Ranges()), factory: o.Factory, trace: o.Trace, dropCounts: map[[2]string]int{}, peerRates: map[[2]int]float64{}}
	if d.spec.Protocol = o.Protocol; o.Protocol.IsThrift() {
		d.spec.ReportsInline = false
	}
	if o.BatchFactor > 0 {
		d.spec.Batch = batchSpec(&d.spec, o.BatchFactor)
	}
	if d.factory == nil {
		d.factory = NewSidecar
		if o.Protocol.IsThrift() {
			d.factory = NewThriftSidecar
		}
	}
	if o.Quotas {
		var err error
		if d.factory, err = quotaFactory(&d.spec); err != nil {
			return nil, err
		}
	}
	d.hasFleet, d.hasRoles, d.lastFaultAt = o.hasFleet(s.Seed), o.FleetMode == FleetWithRoles || o.FleetMode == FleetWithMaintenance, d.spec.Start
	d.conditions = drawConditions(s.Seed)
	if o.Servers > 0 { // Danger: with more traffic and calls of the same duration, loops would never catch up
		d.conditions.callSeconds *= standardServers / float64(o.Servers)
	}
	d.network = virtual.New(s.Seed^s.NetworkSeed*0x9e3779b97f4a7c15, d.spec.Start)
	d.network.SplitProbability = d.conditions.splitProbability
	d.checker = checker.New(d.checkerRules(o))
	var observer checker.Observer = d.checker
	if d.trace != nil {
		observer = &tracingObserver{d}
		d.traceNetwork()
	}
	if d.configuredSidecars = o.ConfiguredSidecars; o.Observer != nil {
		observer = observerPair{observer, o.Observer}
		d.observer = o.Observer
	}
	if o.FleetMode == FleetWithMaintenance && d.hasFleet {
		if d.maintenance = newMaintenanceDriver(d); o.Maintenance != nil {
			d.maintenanceOrder = o.Maintenance.Order
			d.maintenance.scheduleStrategy(o.Maintenance)
		} else {
			d.maintenance.scheduleRandom()
		}
		observer = observerPair{observer, d.maintenance}
	}
	d.environment = environment.New(&d.spec, observer)
	d.createMachines()
	var err error
	if d.faults, err = environment.NewFaultInjector(d.environment, &s, d, observer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidScript, err)
	}
	return d, d.startAll()
}

// checkerRules returns the rules of the day, less what its conditions, faults and fleet make impossible.
func (d *day) checkerRules(o Options) checker.Rules {
	rules := d.spec.Rules()
	// A stalled loop may miss a deadline, and one whose clock is slow notices it late.
	rules.RequiresAnswerInTime = d.conditions.stallIntervalSeconds == 0 &&
		!slices.ContainsFunc(d.script.Faults, func(t environment.Fault) bool { return t.Kind == environment.Suspend || t.Kind == environment.Clock })
	switch {
	case d.hasRoles:
		rules.MaxPollIntervalSeconds = math.Inf(1)
	case !d.hasFleet: // the sidecars spread their polls over the configured number of sidecars
		rules.MaxPollIntervalSeconds = 0.75 * float64(cmp.Or(o.ConfiguredSidecars, len(d.spec.Sidecars)))
	}
	return rules
}

// observerPair passes each event to two observers.
type observerPair [2]checker.Observer

// Observe implements checker.Observer.
func (p observerPair) Observe(e checker.Event) {
	p[0].Observe(e)
	p[1].Observe(e)
}

// run plays the day to its end, or until a rule is violated; the resources in use are reported only without such a rule.
func (d *day) run(until checker.Rule) {
	end := d.spec.Start + d.lastArrivalSeconds() + restSeconds + d.extraTimeoutSeconds()
	for now := d.spec.Start; now < end && !d.hasViolated(until); {
		next := min(now+observationIntervalSeconds, end)
		for at, ok := d.faults.Next(); ok && at <= next; at, ok = d.faults.Next() {
			d.network.RunUntil(at)
			d.faults.Advance(at)
		}
		d.network.RunUntil(next)
		now = next
		d.reportDescriptors()
		d.checkFleet()
		if d.maintenance != nil {
			d.maintenance.observeFleet()
		}
	}
	if d.maintenance != nil {
		d.maintenance.checkRecords()
	}
	if until == "" {
		d.reportLeftovers()
	}
	d.checker.Finish(d.network.Now())
}

// extraTimeoutSeconds returns by how much the longest time-out of a request exceeds the standard one.
func (d *day) extraTimeoutSeconds() (s float64) {
	for _, c := range d.spec.Classes {
		s = max(s, c.TotalTimeoutSeconds-standardTimeoutSeconds)
	}
	return s
}

// standardTimeoutSeconds is the longest time-out of a request in a day without long ones.
const standardTimeoutSeconds = 4.5

// lastArrivalSeconds returns when the last client arrives, since the day's start: misbehaving clients may arrive after the
// others.
func (d *day) lastArrivalSeconds() float64 {
	last := d.spec.LengthSeconds
	for _, t := range d.script.Faults {
		if t.Kind == environment.BadClients || t.Kind == environment.SilentFlood {
			last = max(last, t.AtSeconds+t.DurationSeconds)
		}
	}
	return last
}

// hasViolated reports whether the rule, or any for AnyRule, has been violated so far; false for "".
func (d *day) hasViolated(rule checker.Rule) bool {
	if rule == "" {
		return false
	}
	for _, f := range d.checker.Violations() {
		if rule == AnyRule || f.Rule == rule {
			return true
		}
	}
	return false
}

// observeNow passes an event that happens now to the checker.
func (d *day) observeNow(e checker.Event) {
	e.At, e.Server = d.network.Now(), -1
	d.observe(e)
}

// observe passes an event to the checker as it is.
func (d *day) observe(e checker.Event) {
	if d.trace != nil {
		(&tracingObserver{d}).Observe(e)
	} else {
		d.checker.Observe(e)
	}
}

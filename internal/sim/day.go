package sim

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"hazelwheel/internal/checker"
	dworks "hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio/virtual"
)

// restS is how long after the last arrival a day goes on: requests end, links grow old and are closed.
const restSeconds = 14.0

// day is a day that is being played.
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
	sidecars           []*instance
	hasFleet           bool               // sidecars know each other
	lastFaultAt        float64            // when anything between them was in trouble last
	configuredSidecars int                // sidecars that the configurations speak of; 0: those that there are
	stalledPeers       int                // programs that asked and did not read, so far
	queueReported      bool               // the judge has been told of a queue
	activePeerFaults   int                // ways between sidecars that are cut now
	peerRates          map[[2]int]float64 // by two sidecars, the bytes a second that go from one to the other; looked up, never walked
	fleetReported      bool               // the judge has been told of what they hold
	dropCounts         map[[2]string]int  // by two machines: cuts that have not been mended; looked up, never walked
	hasRoles           bool               // one does the jobs of all
	maintenance        *maintenanceDriver // boxes are worked on; nil: they are not
	maintenanceOrder   dworks.Order
	maxToken           uint64           // the greatest token that any has seen
	observer           checker.Observer // is told what the judge is; nil: nobody is
}

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
	if o.Servers > 0 { // Danger: with as much more to do, loops whose calls take as long as ever never catch up
		d.conditions.callSeconds *= standardServers / float64(o.Servers)
	}
	d.network = virtual.New(s.Seed^s.NetworkSeed*0x9e3779b97f4a7c15, d.spec.Start)
	d.network.SplitProbability = d.conditions.splitProbability
	rules := d.spec.Rules()
	// A loop that stands still may miss a deadline, and one whose clock runs slow finds it over late.
	rules.RequiresAnswerInTime = d.conditions.stallIntervalSeconds == 0 &&
		!slices.ContainsFunc(s.Faults, func(t environment.Fault) bool { return t.Kind == environment.Suspend || t.Kind == environment.Clock })
	switch {
	case d.hasRoles:
		rules.MaxPollIntervalSeconds = math.Inf(1)
	case !d.hasFleet: // waits go by how many the settings say there are
		rules.MaxPollIntervalSeconds = 0.75 * float64(cmp.Or(o.ConfiguredSidecars, len(d.spec.Sidecars)))
	}
	d.checker = checker.New(rules)
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

// witnesses are two that are told the same.
type observerPair [2]checker.Observer

func (p observerPair) Observe(e checker.Event) {
	p[0].Observe(e)
	p[1].Observe(e)
}

// run plays the day out.
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

// longerS returns how much longer than on a usual day a request that came last may take.
func (d *day) extraTimeoutSeconds() (s float64) {
	for _, c := range d.spec.Classes {
		s = max(s, c.TotalTimeoutSeconds-standardTimeoutSeconds)
	}
	return s
}

// usualGiveUpS is the longest time in which a request of a usual day must be answered.
const standardTimeoutSeconds = 4.5

// lastComingS returns when the last client comes, since the day's start: hostile ones may do so when the others have
// ceased.
func (d *day) lastArrivalSeconds() float64 {
	last := d.spec.LengthSeconds
	for _, t := range d.script.Faults {
		if t.Kind == environment.BadClients || t.Kind == environment.SilentFlood {
			last = max(last, t.AtSeconds+t.DurationSeconds)
		}
	}
	return last
}

// broken tells whether a rule has been broken.
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

// see tells the judge of something that happens now.
func (d *day) observeNow(e checker.Event) {
	e.At, e.Server = d.network.Now(), -1
	d.observe(e)
}

// seeAs tells it of something as it is.
func (d *day) observe(e checker.Event) {
	if d.trace != nil {
		(&tracingObserver{d}).Observe(e)
	} else {
		d.checker.Observe(e)
	}
}

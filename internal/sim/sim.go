// Package sim plays days in simulated time: the real sidecars, the world that they serve and the troubles of a script,
// on a virtual network, with the judge looking on. A script and its seed are one history, the same on any machine.
package sim

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"

	"hazelwheel/internal/checker"
	dworks "hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/sidecarconfig"
)

// Program is a sidecar as a day needs it.
type Program interface {
	netio.Handler
	// Do calls f on the program's loop, with what follows from it.
	Do(f func())
	// Drain has the program end once all that it has taken is answered.
	Drain()
	// Reload gives it a new configuration, or the error that came of reading it.
	Reload(cfg sidecarconfig.Config, err error)
	// Offline and Online are the operators' calls to take a server out and to give it back.
	CordonServer(server string) error
	UncordonServer(server string) error
	// Held says what the program holds, by name; a program at rest holds nothing.
	Leftovers() []Leftover
}

// Holding is a number of things that a program holds.
type Leftover struct {
	Name  string
	Count int
}

// Core returns a program that has not begun, on its network.
type Factory func(cfg sidecarconfig.Config, net netio.EventLoop, log *slog.Logger) (Program, error)

// Options are how a day is played.
type Options struct {
	Factory Factory                       // nil: the sidecar
	Trace   func(at float64, line string) // told of all that happens, in seconds since the day's start; nil: nobody is
	// Until stops the day at the first finding of this rule; "any" at the first of all. Danger: what the day has left
	// at its end is then not looked at.
	StopAtRule    checker.Rule
	WithoutFaults bool // leave the troubles of the script out
	// Speech is what applications and boxes speak; empty: HTTP. It changes nothing else of a day, but that answers over Thrift
	// hold no load reports: those come with probes.
	Protocol environment.Protocol
	// Batch is at how many times its share a batch of reads comes beside the applications' requests; 0: there is none. With
	// Quotas the sidecars hold groups to their shares.
	BatchFactor        float64
	Quotas             bool
	Servers            int                 // at the start of the day, with as much traffic; 0: as usual
	CustomRanges       *environment.Ranges // that days are drawn from in place of all that is said here of sizes; nil: none
	ConfiguredSidecars int                 // how many sidecars the configurations say there are; 0: as many as the day has
	// Watch is told of all that the judge is told; nil: nobody is.
	Observer checker.Observer
	// Together says on which days sidecars know each other. Those of other cores, speeches and quotas never do.
	FleetMode FleetMode
	// Weigh has a day of TogetherWorks be about one plan or script, in place of drawn ones; nil: they are drawn.
	Maintenance *MaintenanceStrategy
	Sidecars    int // that the day has, with as much traffic each has as usual together; 0: as usual
}

// together tells whether the sidecars of a seed's day know each other.
func (o Options) hasFleet(seed uint64) bool {
	return o.Factory == nil && !o.Protocol.IsThrift() && !o.Quotas && o.FleetMode.isOn(seed)
}

// usualBoxes is how many boxes a day has that is not drawn with more.
const standardServers = 15

// Ranges returns what days are drawn from.
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

// Any stands for all rules in Options.Until.
const AnyRule checker.Rule = "any"

// Result is what came of a day.
type Result struct {
	Seed              uint64              `json:"Seed"`
	Hash              uint64              `json:"Hash"`  // of the history
	Steps             uint64              `json:"Steps"` // events
	Start             float64             `json:"Start"` // of the day, in Unix time
	SimulatedSeconds  float64             `json:"SimulatedS"`
	Violations        []checker.Violation `json:"Findings"`
	Report            checker.Report      `json:"Report"`
	MaxToken          uint64              `json:"Granted"` // the greatest token under which a sidecar was heard; 0: none was
	ServersMaintained int                 `json:"Worked"`  // boxes on which work has ended
}

// Since returns how long after the day's start a time is.
func (r *Result) SinceStart(at float64) float64 { return at - r.Start }

// Breaks tells whether the day broke a rule.
func (r *Result) HasViolation(rule checker.Rule) bool {
	for _, f := range r.Violations {
		if f.Rule == rule {
			return true
		}
	}
	return false
}

// DrawScript returns the script of a seed for days drawn as the options say.
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

// ErrScript is wrapped by errors that a script is at fault for.
var ErrInvalidScript = errors.New("script")

// restS is how long after the last arrival a day goes on: requests end, links grow old and are closed.
const restSeconds = 14.0

// Play plays a script from its beginning to its end. An error means that the day could not be played.
func Play(s environment.Script, o Options) (*Result, error) {
	if o.WithoutFaults {
		s.Faults = nil
	}
	d, err := newDay(s, o)
	if err != nil {
		return nil, err
	}
	d.run(o.StopAtRule)
	worked := 0
	if d.maintenance != nil {
		worked = d.maintenance.completedWorks()
	}
	return &Result{ServersMaintained: worked, Seed: s.Seed, Hash: d.network.Hash(), Steps: d.network.Steps(), Start: d.spec.Start, SimulatedSeconds: d.network.Now() - d.spec.Start,
		Violations: d.checker.Violations(), Report: d.checker.Report(), MaxToken: d.maxToken}, nil
}

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

// lookEveryS is the time between two looks at what the processes hold.
const observationIntervalSeconds = 0.1

// look tells the judge how many descriptors the sidecars hold, and of accepts and dials that found none.
func (d *day) reportDescriptors() {
	for _, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() {
			continue
		}
		held, most := s.process.Descriptors()
		if denied := s.process.DescriptorFailures(); denied > s.reportedFailures {
			most, s.reportedFailures = d.spec.MaxDescriptors+denied-s.reportedFailures, denied
		}
		if most != s.reportedDescriptors {
			s.reportedDescriptors = most
			d.observeNow(checker.Event{Kind: checker.DescriptorsCounted, Sidecar: int32(s.number), Count: int32(max(held, most))})
		}
	}
}

// leftovers tells the judge what sidecars still hold when the day is over.
func (d *day) reportLeftovers() {
	for _, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() {
			continue
		}
		held := s.program.Leftovers()
		unsent := 0
		for _, c := range s.process.Conns() {
			if _, peer := c.Context().(*peers.Link); !peer { // they are never at rest; what waits on them is looked at all day long
				unsent += c.OutboundBuffered()
			}
		}
		held = append(held, Leftover{"dials", excess(s.process.Dialing(), idleConns)}, Leftover{"bytes that are not sent", unsent})
		for _, h := range held {
			if h.Count != 0 {
				d.observeNow(checker.Event{Kind: checker.LeftoversCounted, Sidecar: int32(s.number), Count: int32(h.Count), Text: h.Name})
			}
		}
	}
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

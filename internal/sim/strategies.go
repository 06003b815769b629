package sim

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/sidecarconfig"
)

// MaintenanceStrategy is a way to maintain all servers of a day.
type MaintenanceStrategy struct {
	Name          string
	Order         maintenance.Order
	MaxConcurrent int // 0: no server is maintained
	MaxPerSite    int
	Manual        bool // servers are cordoned and uncordoned by hand at all sidecars, one after another, with fixed waits
}

// MaintenanceStrategies are the strategies that CompareMaintenance compares; the first is the baseline.
var MaintenanceStrategies = []MaintenanceStrategy{
	{Name: "nothing is worked on"},
	{Name: "script, by hand", Manual: true, MaxConcurrent: 1},
	{Name: "one at a time", Order: maintenance.LookAhead, MaxConcurrent: 1, MaxPerSite: 1},
	{Name: "fixed order, 3 at once", Order: maintenance.AsListed, MaxConcurrent: 3, MaxPerSite: 3},
	{Name: "by site, 3 at once", Order: maintenance.SitesInTurn, MaxConcurrent: 3, MaxPerSite: 1},
	{Name: "least loaded, 3 at once", Order: maintenance.LeastLoad, MaxConcurrent: 3, MaxPerSite: 1},
	{Name: "least hurt now, 3 at once", Order: maintenance.LeastImpact, MaxConcurrent: 3, MaxPerSite: 1},
	{Name: "looking ahead, 2 at once", Order: maintenance.LookAhead, MaxConcurrent: 2, MaxPerSite: 1},
	{Name: "looking ahead, 3 at once", Order: maintenance.LookAhead, MaxConcurrent: 3, MaxPerSite: 1},
	{Name: "looking ahead, 10 at once", Order: maintenance.LookAhead, MaxConcurrent: 10, MaxPerSite: 3},
}

// The plan of a compared strategy.
const (
	planStartSeconds   = 15.0 // since the day's start
	planWorkSeconds    = 5.0
	manualDrainSeconds = 10.0 // a manual operator sees neither drained nor warm servers and waits as long as requests may take
	planMaxRejection   = 0.4  // above the standard limit: the operator accepts the rejections of an overloaded fleet
	overloadThreshold  = 0.8  // share of the capacity above which fleets reject by themselves
)

// scheduleStrategy schedules the maintenance of all servers by a strategy.
func (d *maintenanceDriver) scheduleStrategy(strategy *MaintenanceStrategy) {
	d.strategy = strategy
	switch {
	case strategy.MaxConcurrent == 0:
	case strategy.Manual:
		d.after(planStartSeconds, func() {
			cfg, err := sidecarconfig.Parse(d.day.environment.StartConfiguration(0, d.day.network.Now()))
			if err != nil {
				panic(err) // the sidecars have parsed it
			}
			d.slowStartSeconds = cfg.Settings.Policy.SlowStartSeconds
			d.maintainManually(0)
		})
	default:
		d.spec = maintenance.Spec{WorkSeconds: planWorkSeconds, QuietSeconds: 1, DeadMemberSeconds: deadMemberSeconds, RejectionBudget: 0.1, MaxRejection: planMaxRejection, MinCapacity: 0.6}
		for i := range strategy.MaxConcurrent {
			agent := &simulatedAgent{driver: d, name: fmt.Sprint("mechanic-", i), isReliable: true}
			d.agents = append(d.agents, agent)
			d.after(planStartSeconds-1, agent.poll)
		}
		d.after(planStartSeconds, func() {
			spec := d.spec
			spec.Name, spec.MaxConcurrent, spec.MaxPerSite = "all", strategy.MaxConcurrent, strategy.MaxPerSite
			for i := range d.day.spec.InitialServers {
				spec.Servers = append(spec.Servers, d.servers[i].name)
			}
			d.submit(maintenance.Command{Kind: maintenance.SubmitPlan, Spec: &spec}, 60, func(r maintenance.Reply, answered bool) { d.trace("%d %s, %t", r.Plan, r.Err, answered) })
		})
	}
}

// maintainManually cordons a server at all sidecars, maintains it, uncordons it, and goes on with the next.
func (d *maintenanceDriver) maintainManually(i int) {
	if i >= d.day.spec.InitialServers {
		d.endedAt = d.day.network.Now()
		return
	}
	call := func(out bool) {
		for s := range d.day.sidecars {
			d.day.Cordon(s, d.servers[i].name, out, func() {})
		}
	}
	call(true)
	d.after(manualDrainSeconds, func() {
		d.day.faults.StopServer(i, d.day.network.Now())
		d.after(planWorkSeconds, func() {
			d.day.faults.StartServer(i, d.day.network.Now())
			d.after(0.2, func() {
				call(false)
				d.after(d.slowStartSeconds, func() { d.maintainManually(i + 1) })
			})
		})
	})
}

// MaintenanceResult is the outcome of a day with one strategy.
type MaintenanceResult struct {
	TotalSeconds float64 `json:"TotalS"`  // from the plan's start to the completion of the last server; NaN: it was not completed
	Service      float64 `json:"Service"` // in that time
	WorstService float64 `json:"Worst"`   // of any 10 s of it
	WorstAt      int     `json:"At"`      // start of these 10 s, in seconds since the day's start
	Rejected     int     `json:"Refused"` // attempts, in that time
	Violations   int     `json:"Rules"`   // of rules
	meter        *serviceMeter
}

// PlayMaintenance plays a day on which all servers are maintained by a strategy; hang makes a fifth of the servers hang for a
// while.
func PlayMaintenance(seed uint64, servers int, load float64, hang bool, strategy *MaintenanceStrategy) (*MaintenanceResult, error) {
	ranges := environment.StandardRanges()
	if servers > 19 {
		ranges = environment.LargeRanges(servers)
	}
	ranges.Servers = environment.Range{Min: float64(servers), Max: float64(servers)}
	ranges.Sites, ranges.Sidecars, ranges.OverloadedDayShare, ranges.Load = environment.Range{Min: 4, Max: 4}, environment.Range{Min: 5, Max: 5}, 0, environment.Range{Min: load, Max: load}
	lengthSeconds := planStartSeconds + 20 + 42*float64(servers)
	if strategy.MaxConcurrent > 1 { // time for each server, and to wait until a fault is over
		lengthSeconds = planStartSeconds + 150 + 36*math.Ceil(float64(servers)/float64(strategy.MaxConcurrent))
	}
	if load > overloadThreshold { // the fleet rejects by itself: one server at a time, with a wait to measure the rejections
		lengthSeconds = planStartSeconds + 120 + 75*float64(servers)
	}
	ranges.LengthSeconds = environment.Range{Min: lengthSeconds, Max: lengthSeconds}
	options := Options{FleetMode: FleetWithMaintenance, CustomRanges: &ranges, Maintenance: strategy}
	drawn := environment.Draw(seed, ranges)
	script := environment.Script{Seed: seed}
	if hang {
		var names []string
		for i := range servers / 5 {
			names = append(names, drawn.Servers[i*5].Name)
		}
		script.Faults = []environment.Fault{{Kind: environment.Hang, AtSeconds: planStartSeconds + 20, DurationSeconds: 40, Servers: names}}
	}
	meter := &serviceMeter{classes: drawn.Rules().Classes, requests: map[uint64]*meteredRequest{}, start: drawn.Start}
	options.Observer = meter
	day, err := newDay(script, options)
	if err != nil {
		return nil, err
	}
	day.run("")
	result := &MaintenanceResult{TotalSeconds: math.NaN(), Violations: len(day.checker.Violations()), meter: meter, WorstService: 1}
	end := int(lengthSeconds)
	if at := day.maintenance.endedAt; at > 0 {
		result.TotalSeconds = at - drawn.Start - planStartSeconds
		end = int(at-drawn.Start) + 1
	}
	result.Service = meter.service(int(planStartSeconds), end)
	for i := int(planStartSeconds); i+10 <= end; i++ {
		if script := meter.service(i, i+10); script < result.WorstService {
			result.WorstService, result.WorstAt = script, i
		}
	}
	for i := int(planStartSeconds); i < min(end, len(meter.rejected)); i++ {
		result.Rejected += meter.rejected[i]
	}
	return result, nil
}

// comparedDays are the kinds of days that CompareMaintenance plays.
var comparedDays = []struct {
	name string
	load float64 // share of the capacity
	hang bool
}{{"quiet", 0.5, false}, {"0.9 of capacity", 0.9, false}, {"a fifth hangs for 40 s", 0.5, true}}

// comparedRun is one run of CompareMaintenance: indices of a strategy and a kind of day, and a seed.
type comparedRun struct {
	strategy, day int
	seed          uint64
}

// CompareMaintenance plays days with all strategies whose names contain one of nameParts (none: all), and writes a table of
// total time against the worst 10 s of service, beside the baseline without maintenance.
func CompareMaintenance(out io.Writer, first, last uint64, servers, jobs int, nameParts []string) error {
	strategies := selectStrategies(servers, nameParts)
	results, err := playStrategies(strategies, first, last, servers, jobs)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d boxes, seeds %d-%d; medians\n", servers, first, last)
	for day := range comparedDays {
		fmt.Fprintf(out, "\n%-26s  total s  ended  service  beside nothing  worst 10 s  beside nothing  refused  rules\n", comparedDays[day].name)
		for i := range strategies {
			writeStrategyRow(out, strategies[i].Name, results, comparedRun{strategy: i, day: day}, first, last)
		}
	}
	return nil
}

// selectStrategies returns the baseline, and the strategies that are named and fit the number of servers.
func selectStrategies(servers int, nameParts []string) (selected []MaintenanceStrategy) {
	for i, s := range MaintenanceStrategies {
		isNamed := len(nameParts) == 0 || slices.ContainsFunc(nameParts, func(part string) bool { return strings.Contains(s.Name, part) })
		if i == 0 || isNamed && 2*s.MaxConcurrent <= servers {
			selected = append(selected, s)
		}
	}
	return selected
}

// playStrategies plays the seeds with all strategies on all kinds of days, so many at a time.
func playStrategies(strategies []MaintenanceStrategy, first, last uint64, servers, jobs int) (map[comparedRun]*MaintenanceResult, error) {
	var mu sync.Mutex // guards results and failed
	results := map[comparedRun]*MaintenanceResult{}
	var failed error
	slots := make(chan struct{}, max(jobs, 1))
	var runs sync.WaitGroup
	for day := range comparedDays {
		for strategy := range strategies {
			for seed := first; seed <= last; seed++ {
				runs.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					r, err := PlayMaintenance(seed, servers, comparedDays[day].load, comparedDays[day].hang, &strategies[strategy])
					mu.Lock()
					defer mu.Unlock()
					results[comparedRun{strategy, day, seed}] = r
					failed = cmp.Or(failed, err)
				})
			}
		}
	}
	runs.Wait()
	return results, failed
}

// writeStrategyRow writes a row of the table: medians over the seeds of one strategy on one kind of day.
func writeStrategyRow(out io.Writer, name string, results map[comparedRun]*MaintenanceResult, run comparedRun, first, last uint64) {
	var total, service, loss, worst, worstLoss, rejected []float64
	violations, ended := 0, 0
	for seed := first; seed <= last; seed++ {
		r, baseline := results[comparedRun{run.strategy, run.day, seed}], results[comparedRun{0, run.day, seed}]
		if violations += r.Violations; !math.IsNaN(r.TotalSeconds) {
			ended++
		}
		total, service, worst, rejected = append(total, r.TotalSeconds), append(service, r.Service), append(worst, r.WorstService), append(rejected, float64(r.Rejected))
		from, to := int(planStartSeconds), int(planStartSeconds+r.TotalSeconds)
		if math.IsNaN(r.TotalSeconds) {
			to = len(baseline.meter.weight)
		}
		to = min(to, len(baseline.meter.weight), len(r.meter.weight))
		loss = append(loss, baseline.meter.service(from, to)-r.meter.service(from, to))
		worstLoss = append(worstLoss, baseline.meter.service(r.WorstAt, r.WorstAt+10)-r.WorstService)
	}
	fmt.Fprintf(out, "%-26s  %7.0f  %2d/%2d  %7.4f  %14.4f  %10.3f  %14.3f  %7.0f  %5d\n", name, median(total), ended, last-first+1,
		median(service), median(loss), median(worst), median(worstLoss), median(rejected), violations)
}

// median sorts values and returns their median. NaN, not completed, sorts after all others.
func median(values []float64) float64 {
	slices.SortFunc(values, func(a, b float64) int {
		switch {
		case math.IsNaN(a) && math.IsNaN(b):
			return 0
		case math.IsNaN(a):
			return 1
		case math.IsNaN(b):
			return -1
		}
		return cmp.Compare(a, b)
	})
	return values[len(values)/2]
}

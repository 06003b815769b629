package sim

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/sidecarconfig"
)

// Weighing is one way to have all boxes of a day worked on, beside others.
type MaintenanceStrategy struct {
	Name          string
	Order         maintenance.Order
	MaxConcurrent int // 0: nobody works on anything
	MaxPerSite    int
	Manual        bool // one box after the other is called out and in by hand at all sidecars, with fixed waits
}

// Ways are the ways that are weighed.
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

// What a weighed plan is.
const (
	weighAtS    = 15.0 // since the day's start
	weighTakesS = 5.0
	// A script knows nothing of what is out or cold: it waits for as long as requests may take, and as boxes are cold.
	scriptEmptyS = 10.0
	weighMost    = 0.4 // whoever gives a plan there knows what they refuse
	edgeLoad     = 0.8 // part of the capacity beyond which fleets here refuse by themselves
)

// weigh has all boxes be worked on in one way.
func (w *plans) weigh(way *MaintenanceStrategy) {
	w.weighed = way
	switch {
	case way.MaxConcurrent == 0:
	case way.Manual:
		w.after(weighAtS, func() {
			cfg, err := sidecarconfig.Parse(w.d.environment.StartConfiguration(0, w.d.network.Now()))
			if err != nil {
				panic(err) // the sidecars have read it
			}
			w.coldS = cfg.Settings.Policy.SlowStartSeconds
			w.byHand(0)
		})
	default:
		w.spec = maintenance.Spec{WorkSeconds: weighTakesS, QuietSeconds: 1, DeadMemberSeconds: workGoneS, RejectionBudget: 0.1, MaxRejection: weighMost, MinCapacity: 0.6}
		for i := range way.MaxConcurrent {
			m := &mechanic{w: w, name: fmt.Sprint("mechanic-", i), steady: true}
			w.mechanics = append(w.mechanics, m)
			w.after(weighAtS-1, m.poll)
		}
		w.after(weighAtS, func() {
			s := w.spec
			s.Name, s.MaxConcurrent, s.MaxPerSite = "all", way.MaxConcurrent, way.MaxPerSite
			for i := range w.d.spec.InitialServers {
				s.Servers = append(s.Servers, w.boxes[i].name)
			}
			w.ask(maintenance.Command{Kind: maintenance.SubmitPlan, Spec: &s}, 60, func(r maintenance.Reply, answered bool) { w.tell("%d %s, %t", r.Plan, r.Err, answered) })
		})
	}
}

// byHand takes a box out at all sidecars, has it worked on, gives it back, and goes on with the next one.
func (w *plans) byHand(i int) {
	if i >= w.d.spec.InitialServers {
		w.endedAt = w.d.network.Now()
		return
	}
	call := func(out bool) {
		for s := range w.d.sidecars {
			w.d.Cordon(s, w.boxes[i].name, out, func() {})
		}
	}
	call(true)
	w.after(scriptEmptyS, func() {
		w.d.faults.StopServer(i, w.d.network.Now())
		w.after(weighTakesS, func() {
			w.d.faults.StartServer(i, w.d.network.Now())
			w.after(0.2, func() {
				call(false)
				w.after(w.coldS, func() { w.byHand(i + 1) })
			})
		})
	})
}

// meter measures the service from outside, second by second.
type meter struct {
	classes []checker.Class
	first   map[uint64]*asked // by the id of each try
	worth   []float64         // that was asked for, by second of the day
	earned  []float64         // and served by the aim
	refused []int
	start   float64
}

type asked struct {
	at     float64
	class  int32
	served bool
}

// See takes an event.
func (m *meter) Observe(e checker.Event) {
	switch e.Kind {
	case checker.RequestStarted:
		a := m.first[e.FirstRequest]
		if a == nil {
			a = &asked{at: e.At, class: e.Class}
			*m.second(&m.worth, e.At) += m.classes[e.Class].PriorityWeight
		}
		m.first[e.FirstRequest], m.first[e.Request] = a, a
	case checker.ResponseReceived:
		a := m.first[e.Request]
		switch {
		case a == nil || a.served:
		case e.Status == 200:
			if a.served = true; e.At-a.at <= m.classes[a.class].LatencyTargetSeconds {
				*m.second(&m.earned, a.at) += m.classes[a.class].PriorityWeight
			}
		case e.Status == 429 || e.Status == 503:
			i := int(e.At - m.start)
			for len(m.refused) <= i {
				m.refused = append(m.refused, 0)
			}
			m.refused[i]++
		}
	}
}

func (m *meter) second(all *[]float64, at float64) *float64 {
	i := int(at - m.start)
	for len(*all) <= i {
		*all = append(*all, 0)
	}
	return &(*all)[i]
}

// service returns the share of the worth that was earned between two seconds.
func (m *meter) service(from, to int) float64 {
	worth, earned := 0.0, 0.0
	for i := from; i < min(to, len(m.worth)); i++ {
		if worth += m.worth[i]; i < len(m.earned) {
			earned += m.earned[i]
		}
	}
	if worth == 0 {
		return 1
	}
	return earned / worth
}

// Weighed is what came of a day in one way.
type MaintenanceResult struct {
	TotalSeconds float64 `json:"TotalS"`  // from when the plan was given to when the last box was done; NaN: it was not
	Service      float64 `json:"Service"` // meanwhile
	WorstService float64 `json:"Worst"`   // of 10 s
	WorstAt      int     `json:"At"`      // when these began
	Rejected     int     `json:"Refused"` // tries, meanwhile
	Violations   int     `json:"Rules"`   // that were broken
	m            *meter
}

// WeighDay plays a day on which a number of boxes are worked on.
func PlayMaintenance(seed uint64, boxes int, load float64, hang bool, way *MaintenanceStrategy) (*MaintenanceResult, error) {
	r := environment.StandardRanges()
	if boxes > 19 {
		r = environment.LargeRanges(boxes)
	}
	r.Servers = environment.Range{Min: float64(boxes), Max: float64(boxes)}
	r.Sites, r.Sidecars, r.OverloadedDayShare, r.Load = environment.Range{Min: 4, Max: 4}, environment.Range{Min: 5, Max: 5}, 0, environment.Range{Min: load, Max: load}
	lengthS := weighAtS + 20 + 42*float64(boxes)
	if way.MaxConcurrent > 1 { // a box takes that long, and there is time to wait until a trouble is over
		lengthS = weighAtS + 150 + 36*math.Ceil(float64(boxes)/float64(way.MaxConcurrent))
	}
	if load > edgeLoad { // the fleet refuses by itself: one box is out at a time, and what it refuses is measured between two
		lengthS = weighAtS + 120 + 75*float64(boxes)
	}
	r.LengthSeconds = environment.Range{Min: lengthS, Max: lengthS}
	o := Options{FleetMode: FleetWithMaintenance, CustomRanges: &r, Maintenance: way}
	d := environment.Draw(seed, r)
	s := environment.Script{Seed: seed}
	if hang {
		var names []string
		for i := range boxes / 5 {
			names = append(names, d.Servers[i*5].Name)
		}
		s.Faults = []environment.Fault{{Kind: environment.Hang, AtSeconds: weighAtS + 20, DurationSeconds: 40, Servers: names}}
	}
	m := &meter{classes: d.Rules().Classes, first: map[uint64]*asked{}, start: d.Start}
	o.Observer = m
	played, err := newDay(s, o)
	if err != nil {
		return nil, err
	}
	played.run("")
	w := &MaintenanceResult{TotalSeconds: math.NaN(), Violations: len(played.checker.Violations()), m: m, WorstService: 1}
	end := int(lengthS)
	if at := played.maintenance.endedAt; at > 0 {
		w.TotalSeconds = at - d.Start - weighAtS
		end = int(at-d.Start) + 1
	}
	w.Service = m.service(int(weighAtS), end)
	for i := int(weighAtS); i+10 <= end; i++ {
		if s := m.service(i, i+10); s < w.WorstService {
			w.WorstService, w.WorstAt = s, i
		}
	}
	for i := int(weighAtS); i < min(end, len(m.refused)); i++ {
		w.Rejected += m.refused[i]
	}
	return w, nil
}

// Weigh plays days in all ways whose names hold a part (none: all), and prints a table: total time against the worst 10 s of service.
func CompareMaintenance(out io.Writer, first, last uint64, boxes, jobs int, parts []string) error {
	ways, named := []MaintenanceStrategy{}, func(name string) bool {
		return len(parts) == 0 || slices.ContainsFunc(parts, func(p string) bool { return strings.Contains(name, p) })
	}
	for i, w := range MaintenanceStrategies {
		if i == 0 || named(w.Name) && 2*w.MaxConcurrent <= boxes {
			ways = append(ways, w)
		}
	}
	type key struct {
		way, day int
		seed     uint64
	}
	days := []struct {
		name string
		load float64
		hang bool
	}{{"quiet", 0.5, false}, {"0.9 of capacity", 0.9, false}, {"a fifth hangs for 40 s", 0.5, true}}
	var mu sync.Mutex
	results := map[key]*MaintenanceResult{}
	var failed error
	slots := make(chan struct{}, max(jobs, 1))
	var all sync.WaitGroup
	for day := range days {
		for way := range ways {
			for seed := first; seed <= last; seed++ {
				all.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					r, err := PlayMaintenance(seed, boxes, days[day].load, days[day].hang, &ways[way])
					mu.Lock()
					defer mu.Unlock()
					results[key{way, day, seed}] = r
					failed = cmp.Or(failed, err)
				})
			}
		}
	}
	all.Wait()
	if failed != nil {
		return failed
	}
	median := func(x []float64) float64 {
		slices.SortFunc(x, func(a, b float64) int { // what has not ended is the longest
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
		return x[len(x)/2]
	}
	fmt.Fprintf(out, "%d boxes, seeds %d-%d; medians\n", boxes, first, last)
	for day := range days {
		fmt.Fprintf(out, "\n%-26s  total s  ended  service  beside nothing  worst 10 s  beside nothing  refused  rules\n", days[day].name)
		for way := range ways {
			var total, service, loss, worst, worse, refused []float64
			rules, ended := 0, 0
			for seed := first; seed <= last; seed++ {
				r, none := results[key{way, day, seed}], results[key{0, day, seed}]
				if rules += r.Violations; !math.IsNaN(r.TotalSeconds) {
					ended++
				}
				total, service, worst, refused = append(total, r.TotalSeconds), append(service, r.Service), append(worst, r.WorstService), append(refused, float64(r.Rejected))
				to := int(weighAtS + r.TotalSeconds)
				if math.IsNaN(r.TotalSeconds) {
					to = len(none.m.worth)
				}
				to = min(to, len(none.m.worth), len(r.m.worth))
				loss = append(loss, none.m.service(int(weighAtS), to)-r.m.service(int(weighAtS), to))
				worse = append(worse, none.m.service(r.WorstAt, r.WorstAt+10)-r.WorstService)
			}
			fmt.Fprintf(out, "%-26s  %7.0f  %2d/%2d  %7.4f  %14.4f  %10.3f  %14.3f  %7.0f  %5d\n", ways[way].Name, median(total), ended, last-first+1,
				median(service), median(loss), median(worst), median(worse), median(refused), rules)
		}
	}
	return nil
}

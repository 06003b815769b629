// Package figures works out what an experiment's runs tell, run by run and cell by cell, for reports and comparisons.
package figures

import (
	"slices"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/load"
)

// Figure is one thing that a run tells.
type Figure struct {
	Name   string
	Higher bool                                     // is better; otherwise lower is
	Of     func(*experiment.Record) (float64, bool) // false: this run doesn't tell it
}

// All are the figures, in the order in which reports have them.
var All = []Figure{
	{"served %", true, share(load.Served)},
	{"worth %", true, func(r *experiment.Record) (float64, bool) { return 100 * r.Result.Worth, r.Result.Offered > 0 }},
	{"refused %", false, share(load.Refused)},
	{"failed %", false, func(r *experiment.Record) (float64, bool) {
		return 100 * Failed(&r.Result.Counts), r.Result.Offered > 0
	}},
	{"served/s", true, func(r *experiment.Record) (float64, bool) { return r.Result.ServedPS, true }},
	{"p50 ms", false, served(func(t load.Times) float64 { return t.P50 })},
	{"p99 ms", false, served(func(t load.Times) float64 { return t.P99 })},
	{"p99.9 ms", false, served(func(t load.Times) float64 { return t.P999 })},
	{"until service is back s", false, Recovery},
	{"busiest box, times the mean", false, BusiestBox},
	{"CPU µs a request", false, CPU},
	{"peak memory MB", false, func(r *experiment.Record) (float64, bool) { return r.PeakMB, r.PeakMB > 0 }},
}

func share(o load.Outcome) func(*experiment.Record) (float64, bool) {
	return func(r *experiment.Record) (float64, bool) { return 100 * r.Result.Share(o), r.Result.Offered > 0 }
}

func served(f func(load.Times) float64) func(*experiment.Record) (float64, bool) {
	return func(r *experiment.Record) (float64, bool) { return f(r.Result.Times), r.Result.Served > 0 }
}

// Failed returns the share of requests that were neither served nor refused, 0 to 1.
func Failed(c *load.Counts) float64 {
	return c.Share(load.Failed) + c.Share(load.Broken) + c.Share(load.Unanswered) + c.Share(load.Unsent)
}

// CPU returns what the balancers used for each request that was served, in microseconds.
func CPU(r *experiment.Record) (float64, bool) {
	if r.CPUS == 0 || r.Result.Served == 0 {
		return 0, false
	}
	return r.CPUS * 1e6 / float64(r.Result.Served), true
}

// BusiestBox returns how many times the mean the box that was asked most was asked.
func BusiestBox(r *experiment.Record) (float64, bool) {
	sum, most := 0.0, 0.0
	for _, b := range r.Boxes {
		sum, most = sum+float64(b.Requests), max(most, float64(b.Requests))
	}
	if sum == 0 {
		return 0, false
	}
	return most * float64(len(r.Boxes)) / sum, true
}

const (
	// goodShare of what was served before a trouble counts as service that is back, once it has lasted for goodForS.
	goodShare = 0.99
	goodForS  = 1.0
)

// Recovery returns how long after the start of its first trouble a run's service is as it was before, in seconds: the
// requests that are due from then on are served for a second at least. Where service does not come back it is the time
// until the run's end. A run without trouble, or without service before it, tells none.
func Recovery(r *experiment.Record) (float64, bool) {
	if len(r.Events) == 0 || r.Result.StepS == 0 {
		return 0, false
	}
	onset := r.Events[0].AtS
	for _, e := range r.Events {
		onset = min(onset, e.AtS)
	}
	steps := r.Result.Steps
	if onset < 0 || servedIn(steps[:min(int(onset/r.Result.StepS), len(steps))]).Served == 0 {
		return 0, false
	}
	return Back(steps, r.Result.StepS, r.Result.ForS, onset), true
}

func servedIn(steps []load.Step) (n load.Counts) {
	for _, s := range steps {
		n.Add(&s.Counts)
	}
	return n
}

// Back returns how long after a time a series' service is as it was before, in seconds. Where it does not come back that is
// the time until its end. The series' steps are so long each, and it lasts so long in all; what lies behind that is left
// out.
func Back(steps []load.Step, step, length, onset float64) float64 {
	steps = steps[:min(len(steps), int(length/step+0.5))]
	first := min(int(onset/step), len(steps))
	before := servedIn(steps[:first])
	wanted, need := goodShare*before.Share(load.Served), max(int(goodForS/step+0.5), 1)
	run := 0
	for i := first; i < len(steps); i++ {
		if s := steps[i]; s.Offered > 0 && s.Share(load.Served) < wanted {
			run = 0
			continue
		}
		if run++; run == need {
			return max(float64(i+1-need)*step-onset, 0)
		}
	}
	return length - onset
}

// Cell is the runs that differ in their balancer alone, and in chance.
type Cell struct {
	Size, Load, Trouble string
	Columns             []Column // in the order of the file
}

// Column is a balancer's runs.
type Column struct {
	Balancer string
	Runs     []*experiment.Record // whole ones, in the order of the repeats
	Partial  int                  // runs that were not whole, and are left out
}

// Cells returns an experiment's runs by cell.
func Cells(d *experiment.Data) []Cell {
	var cells []Cell
	for i := range d.Records {
		r := &d.Records[i]
		at := slices.IndexFunc(cells, func(c Cell) bool { return c.Size == r.Size && c.Load == r.Load && c.Trouble == r.Trouble })
		if at < 0 {
			at = len(cells)
			c := Cell{Size: r.Size, Load: r.Load, Trouble: r.Trouble}
			for _, b := range d.Spec.Balancers {
				c.Columns = append(c.Columns, Column{Balancer: b.Name})
			}
			cells = append(cells, c)
		}
		for j := range cells[at].Columns {
			switch c := &cells[at].Columns[j]; {
			case c.Balancer != r.Balancer:
			case r.Partial || r.Result == nil:
				c.Partial++
			default:
				c.Runs = append(c.Runs, r)
			}
		}
	}
	return cells
}

// Values returns a figure of all runs that tell it.
func (c *Column) Values(f Figure) []float64 {
	var all []float64
	for _, r := range c.Runs {
		if x, ok := f.Of(r); ok {
			all = append(all, x)
		}
	}
	return all
}

// Median returns the middle value, or the mean of the two in the middle; 0 of none.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := slices.Sorted(slices.Values(values))
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

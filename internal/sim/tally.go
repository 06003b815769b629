package sim

import (
	"cmp"
	"fmt"
	"slices"

	"hazelwheel/internal/checker"
)

// Tally sums up the results of many days. Add is called for each, Finish after the last.
type Tally struct {
	Days              int           `json:"days"`
	History           string        `json:"history"` // hash of all days' histories, independent of their order
	SimulatedSeconds  float64       `json:"simulated_s"`
	Steps             uint64        `json:"steps"`
	Broken            []BrokenRule  `json:"broken,omitempty"`
	Service           float64       `json:"service"`          // mean over the days
	ServersMaintained int           `json:"worked,omitempty"` // servers whose maintenance was completed
	Classes           []ClassTally  `json:"classes,omitempty"`
	Costs             checker.Costs `json:"prices"`
	byRule            map[checker.Rule]*BrokenRule
	service           float64
	history           uint64
}

// BrokenRule is a rule that was violated, with the days that violated it.
type BrokenRule struct {
	Rule  checker.Rule `json:"rule"`
	Days  int          `json:"days"`
	Seeds []uint64     `json:"seeds"` // the lowest of them
}

// ClassTally is the service of a class of requests over many days.
type ClassTally struct {
	Name         string  `json:"name"`
	Requests     int     `json:"asked"`
	InTarget     int     `json:"in_aim"`
	Late         int     `json:"late"`
	Rejected     int     `json:"refused"`
	Failed       int     `json:"failed"`
	Service      float64 `json:"service"` // earned weight over requested weight
	weight       float64
	earnedWeight float64
}

// maxListedSeeds is the number of seeds listed for a violated rule.
const maxListedSeeds = 20

// Add adds a day's result.
func (t *Tally) Add(r *Result) {
	t.Days++
	t.ServersMaintained += r.ServersMaintained
	t.history += r.Hash * (2*r.Seed + 1)
	t.SimulatedSeconds += r.SimulatedSeconds
	t.Steps += r.Steps
	t.service += r.Report.Service
	t.Service = t.service / float64(t.Days)
	if t.byRule == nil {
		t.byRule = map[checker.Rule]*BrokenRule{}
	}
	seen := map[checker.Rule]bool{}
	for _, f := range r.Violations {
		if seen[f.Rule] {
			continue
		}
		seen[f.Rule] = true
		b := t.byRule[f.Rule]
		if b == nil {
			b = &BrokenRule{Rule: f.Rule}
			t.byRule[f.Rule] = b
		}
		b.Days++
		b.Seeds = append(b.Seeds, r.Seed)
	}
	for i, c := range r.Report.Classes {
		if i >= len(t.Classes) {
			t.Classes = append(t.Classes, ClassTally{Name: c.Name})
		}
		k := &t.Classes[i]
		k.Requests, k.InTarget, k.Late, k.Rejected, k.Failed = k.Requests+c.Requests, k.InTarget+c.InTarget, k.Late+c.Late, k.Rejected+c.Rejected, k.Failed+c.Failed
		k.weight, k.earnedWeight = k.weight+c.Weight, k.earnedWeight+c.EarnedWeight
		if k.weight > 0 {
			k.Service = k.earnedWeight / k.weight
		}
	}
	p, q := &t.Costs, &r.Report.Costs
	p.Attempts, p.CrossZoneAttempts, p.HealthChecks, p.Connections = p.Attempts+q.Attempts, p.CrossZoneAttempts+q.CrossZoneAttempts, p.HealthChecks+q.HealthChecks, p.Connections+q.Connections
	p.SlowRejectionWeight, p.HostileClients, p.HostileUnclosed = p.SlowRejectionWeight+q.SlowRejectionWeight, p.HostileClients+q.HostileClients, p.HostileUnclosed+q.HostileUnclosed
}

// Finish sorts the violated rules; Add must not be called after it.
func (t *Tally) Finish() {
	t.History, t.Broken = fmt.Sprintf("%016x", t.history), nil
	for _, b := range t.byRule {
		slices.Sort(b.Seeds)
		b.Seeds = b.Seeds[:min(len(b.Seeds), maxListedSeeds)]
		t.Broken = append(t.Broken, *b)
	}
	slices.SortFunc(t.Broken, func(a, b BrokenRule) int {
		return cmp.Or(cmp.Compare(b.Days, a.Days), cmp.Compare(a.Rule, b.Rule))
	})
}

// Package seeds runs simulations by their seeds, several at a time, and sums up the violations that they report. It holds the event queue of the
// simulations as well.
package seeds

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Violation is one violation of a rule.
type Violation struct {
	At   float64 `json:"at"`
	Rule string  `json:"rule"`
	Why  string  `json:"why"`
}

// String returns rule, time and reason in one line.
func (f Violation) String() string { return fmt.Sprintf("%s at %.3f: %s", f.Rule, f.At, f.Why) }

// Tally sums the results of runs. The keys of its JSON are read by scripts.
type Tally struct {
	Days   int          `json:"days"`
	Steps  uint64       `json:"steps"`
	Hash   uint64       `json:"hash"`
	Broken []BrokenRule `json:"broken,omitempty"` // by rule
}

// BrokenRule is a rule that runs have violated.
type BrokenRule struct {
	Rule  string   `json:"rule"`
	Days  int      `json:"days"`
	Seeds []uint64 `json:"seeds"` // the first few
}

// maxListedSeeds bounds the seeds that are listed for a rule.
const maxListedSeeds = 10

// Add adds the result of a run.
func (t *Tally) Add(seed, steps, hash uint64, findings []Violation) {
	t.Days++
	t.Steps += steps
	t.Hash = t.Hash*1099511628211 ^ hash
	var rules []string
	for _, f := range findings {
		if !slices.Contains(rules, f.Rule) {
			rules = append(rules, f.Rule)
		}
	}
	for _, rule := range rules {
		i, known := slices.BinarySearchFunc(t.Broken, rule, func(b BrokenRule, rule string) int { return cmp.Compare(b.Rule, rule) })
		if !known {
			t.Broken = slices.Insert(t.Broken, i, BrokenRule{Rule: rule})
		}
		b := &t.Broken[i]
		if b.Days++; len(b.Seeds) < maxListedSeeds {
			b.Seeds = append(b.Seeds, seed)
		}
	}
}

// PlayRange plays the seeds from first to last, up to jobs at a time, and calls report with each result in the order of the seeds until it returns false.
func PlayRange[R any](first, last uint64, jobs int, play func(seed uint64) R, report func(R) bool) {
	type slot = chan R
	slots := make(chan slot, max(jobs, 1))
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		defer close(slots)
		for seed := first; ; seed++ {
			s := make(slot, 1)
			select {
			case slots <- s:
			case <-stop:
				return
			}
			all.Go(func() { s <- play(seed) })
			if seed == last {
				return
			}
		}
	})
	for s := range slots {
		if !report(<-s) {
			close(stop)
			break
		}
	}
	for range slots {
	}
	all.Wait()
}
